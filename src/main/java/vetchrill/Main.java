package vetchrill;

import java.io.BufferedOutputStream;
import java.io.FileOutputStream;
import java.io.FileDescriptor;
import java.io.IOException;
import vetchrill.wire.WireFault;
import vetchrill.wire.WireHost;

public final class Main {
    private Main() {
    }

    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            if (args.length > 0) {
                System.err.println("vetchrill: unknown subcommand: " + String.join(" ", args));
            }
            System.err.println("usage: java -jar vetchrill.jar wirehost");
            System.err.println("  wirehost   decide for the instances on the wire: batches on standard input,");
            System.err.println("             replies on standard output, until the input ends");
            System.exit(2);
        }
        try (var out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16)) {
            new WireHost(System.in, out).run();
        } catch (WireFault fault) {
            System.err.println("vetchrill: " + fault.getMessage());
            System.exit(1);
        }
    }
}
