package vetchrill;

import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import vetchrill.program.InstanceRunner;
import vetchrill.wire.WireFormatException;
import vetchrill.wire.WireHost;

/** Entry point: {@code wirehost} decides for simulated instances, {@code serve} runs one instance on sockets. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) throws IOException {
        String subcommand = args.length == 1 ? args[0] : "";
        switch (subcommand) {
            case "wirehost" -> {
                try (var out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16)) {
                    new WireHost(System.in, out).run();
                } catch (WireFormatException fault) {
                    System.err.println("vetchrill: " + fault.getMessage());
                    System.exit(1);
                }
            }
            case "serve" -> System.exit(InstanceRunner.run(System.getenv()));
            default -> {
                if (args.length > 0) {
                    System.err.println("vetchrill: unknown subcommand: " + String.join(" ", args));
                }
                System.err.println("usage: java -jar vetchrill.jar wirehost|serve");
                System.err.println("  wirehost   decide for the instances on the wire: batches on standard input,");
                System.err.println("             replies on standard output, until the input ends");
                System.err.println("  serve      run one instance on sockets, configured by GW_CONFIG, until SIGTERM");
                System.exit(2);
            }
        }
    }
}
