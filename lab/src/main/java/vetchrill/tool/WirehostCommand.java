package vetchrill.tool;

import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import vetchrill.wire.WireHost;

/** Runs the instance core on the line protocol over standard input and output. */
@Command(name = "wirehost", mixinStandardHelpOptions = true,
        description = "Run instances on the line protocol: batches on standard input, replies on standard output, "
                + "until the input ends.")
final class WirehostCommand implements Callable<Integer> {
    @Override
    public Integer call() throws IOException {
        try (var out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16)) {
            new WireHost(System.in, out).run();
        }
        return 0;
    }
}
