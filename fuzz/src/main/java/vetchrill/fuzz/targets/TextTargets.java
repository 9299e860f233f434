package vetchrill.fuzz.targets;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import vetchrill.capture.Capture;
import vetchrill.capture.CaptureException;
import vetchrill.capture.CaptureConfig;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.FleetFileReader;
import vetchrill.fuzz.InvariantViolation;
import vetchrill.fuzz.Target;
import vetchrill.hcl.ConfigBlock;
import vetchrill.hcl.ConfigErrors;
import vetchrill.planner.Goal;
import vetchrill.program.StartConfigurations;
import vetchrill.protocol.MembershipResponses;
import vetchrill.protocol.DeploymentReader;
import vetchrill.protocol.MembershipCall;
import vetchrill.wire.WireFormatException;
import vetchrill.wire.WireHost;

/** Targets whose input is a whole text or file; the reader must accept it or reject it with its own exception. */
final class TextTargets {
    private static final String SETTINGS = "{\"categories\":[{\"name\":\"look\",\"effect\":\"free\",\"aimMs\":400,"
            + "\"deadlineMs\":1000,\"gain\":1},{\"name\":\"note\",\"effect\":\"single_shot\",\"aimMs\":600,"
            + "\"deadlineMs\":1600}],\"customers\":[{\"name\":\"acme\",\"allowancePerS\":100}],\"servers\":2,"
            + "\"familyInfo\":{"
            + "\"cores\":2,\"callers\":2,\"ramKb\":10000,\"runMemFactor\":4,\"idleMs\":2000,"
            + "\"listFollows\":true,\"meters\":"
            + "[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"]},\"guarantees\":{\"fallMultiple\":8,"
            + "\"stopSendingWithinMs\":250},\"limits\":{\"maxRetryAfterMs\":1000}}";

    private TextTargets() {
    }

    /** A target with constant seeds and words. */
    private abstract static class TextTarget implements Target {
        private final String name;
        private final List<Class<?>> covers;
        private final List<byte[]> seeds;
        private final List<String> words;

        TextTarget(String name, List<Class<?>> covers, List<String> words, String... seeds) {
            this.name = name;
            this.covers = covers;
            this.words = words;
            this.seeds = Arrays.stream(seeds).map(seed -> seed.getBytes(StandardCharsets.UTF_8)).toList();
        }

        @Override
        public String name() {
            return name;
        }

        @Override
        public List<Class<?>> covers() {
            return covers;
        }

        @Override
        public List<byte[]> seeds() {
            return seeds;
        }

        @Override
        public List<String> words() {
            return words;
        }
    }

    static Target membership() {
        return new TextTarget("membership", List.of(MembershipCall.class),
                List.of("HTTP/1.1 ", "204", "Content-Length: ",
                "Connection: close", "\r\n\r\n", "-1", "9999999999"),
                "HTTP/1.1 204 Told\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.0 200 OK\r\n\r\n") {
            @Override
            public void run(byte[] input) {
                EndlessInputStream in = new EndlessInputStream(input);
                try {
                    int code = Math.abs(MembershipResponses.readStatus(in));
                    if (code > 999) {
                        throw new InvariantViolation("a status with more than three digits is accepted");
                    }
                } catch (IOException e) {
                    // Rejected, as it may be.
                }
                // Head and body have a maximum size, so that an endless response can not block the health reporter for
                // good.
                if (in.bytesRead > 4L * MembershipResponses.maxHeadBytes()) {
                    throw new InvariantViolation("an endless response is read without a limit");
                }
                checkKeepAlive(input);
            }

            /** Checks that each response on a connection is read up to its own end. */
            private void checkKeepAlive(byte[] input) {
                String body = "x".repeat(input.length % 50);
                String two = "HTTP/1.1 204 Told\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\ncontent-length: "
                        + body.length() + "\r\n\r\n" + body + "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
                InputStream in = new ByteArrayInputStream(two.getBytes(StandardCharsets.US_ASCII));
                try {
                    int first = MembershipResponses.readStatus(in);
                    int second = body.isEmpty() || first == 204 ? MembershipResponses.readStatus(in) : 0;
                    int third = MembershipResponses.readStatus(in);
                    if (first != 204 || second != 200 || third != 503) {
                        throw new InvariantViolation("responses on one connection are mixed up");
                    }
                } catch (IOException e) {
                    throw new InvariantViolation("a valid response is rejected", e);
                }
            }
        };
    }

    /** Continues with header lines after the input, up to 1 MB, as a peer that does not stop sending. */
    private static final class EndlessInputStream extends InputStream {
        private final byte[] bytes;
        long bytesRead;

        EndlessInputStream(byte[] bytes) {
            this.bytes = bytes;
        }

        @Override
        public int read() {
            if (bytesRead > 1 << 20) {
                return -1;
            }
            long position = bytesRead++;
            return position < bytes.length ? bytes[(int) position] & 0xff : "x: y\r\n".charAt((int) (position % 6));
        }
    }

    static Target settings() {
        return new TextTarget("settings", List.of(DeploymentReader.class),
                List.of("categories", "effect", "free", "guarded",
                "single_shot", "aimMs", "deadlineMs", "1e400", "-1", "null", "[]", "{}", "familyInfo", "meters"),
                SETTINGS, "{}", "[1,2]") {
            @Override
            public void run(byte[] input) {
                try {
                    DeploymentReader read = new DeploymentReader(new String(input, StandardCharsets.UTF_8));
                    if (read.groupNames.size() != read.deployment.groups.size() || read.deployment.groups.isEmpty()) {
                        throw new InvariantViolation("there are no groups, or not as many as group names");
                    }
                } catch (IllegalArgumentException e) {
                    checkOneLine(e.getMessage());
                }
            }
        };
    }

    static Target start() {
        return new TextTarget("start", List.of(StartConfigurations.configurationClass()),
                List.of("\"listen\":", "\"vm\":", "127.0.0.1:1", "\"seed\":",
                "\"stop_ms\":", "\"limits\":", "memory_mb", "sockets", "1e99", "-1"),
                "{\"name\":\"n1\",\"listen\":\"127.0.0.1:1\",\"vm\":\"127.0.0.1:2\",\"members\":\"127.0.0.1:3\","
                + "\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":600,\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
                + "\"sockets\":1024},"
                + "\"settings\":" + SETTINGS + "}") {
            private Path file;

            @Override
            public void run(byte[] input) {
                try {
                    if (file == null) {
                        file = Files.createTempFile("vetchrill-start", ".json");
                        file.toFile().deleteOnExit();
                    }
                    Files.write(file, input);
                    StartConfigurations.read(Map.of("GW_CONFIG", file.toString()));
                } catch (IllegalArgumentException e) {
                    checkOneLine(e.getMessage());
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }
        };
    }

    private static void checkOneLine(String message) {
        if (message == null || message.isBlank() || message.indexOf('\n') >= 0) {
            throw new InvariantViolation("an error message is not one line with a reason");
        }
    }

    static Target wire() {
        return new TextTarget("wire", wireClasses(), List.of("sync ", "commit", "at ", "born ", "inbound ", "ring ",
                "run_over ",
                "instance=", "tsMs=", "seq=", "rid=", "type=", "salt=", "options=", "disposition=completed", "\n"),
                "sync tsMs=1000.0 seq=1\nat instance=0\nborn salt=7 options=" + SETTINGS
                        + "\ninbound rid=1 type=0 sizeKb=20"
                + " waitedMs=3.5\ncommit\nsync tsMs=1100 seq=2\nat instance=0\nring token=1 "
                + "stats=0.5,1,0.2,3\nrun_over rid=1"
                + " disposition=completed costTimeMs=20.5\nwind_down clientDeadlineMs=3000\ncommit\n") {
            @Override
            public void run(byte[] input) {
                String whole = runHost(new ByteArrayInputStream(input));
                SplittableRandom random = new SplittableRandom(Arrays.hashCode(input));
                String pieces = runHost(new ByteArrayInputStream(input) {
                    @Override
                    public synchronized int read(byte[] buf, int from, int size) {
                        return super.read(buf, from, Math.min(size, 1 + random.nextInt(30)));
                    }
                });
                if (!whole.equals(pieces)) {
                    throw new InvariantViolation("the same lines, split differently, give different decisions");
                }
            }

            private String runHost(InputStream in) {
                ByteArrayOutputStream out = new ByteArrayOutputStream();
                java.io.PrintStream err = System.err;
                // A controller that fails reports it on the wire; the stack trace that it prints as well is discarded.
                System.setErr(new java.io.PrintStream(java.io.OutputStream.nullOutputStream()));
                try {
                    new WireHost(in, out).run();
                } catch (WireFormatException e) {
                    return out + "\n" + e.getMessage();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                } finally {
                    System.setErr(err);
                }
                return out.toString();
            }
        };
    }

    private static List<Class<?>> wireClasses() {
        try {
            return List.of(WireHost.class, Class.forName("vetchrill.wire.LineParser", false,
                    WireHost.class.getClassLoader()), Class.forName("vetchrill.wire.InstanceAdapter", false,
                    WireHost.class.getClassLoader()));
        } catch (ClassNotFoundException e) {
            throw new IllegalStateException(e);
        }
    }

    static Target hcl() {
        return new TextTarget("hcl", List.of(ConfigBlock.class, FleetFileReader.class, Goal.class, CaptureConfig.class),
                List.of("kind",
                "zone", "group", "stubs", "{", "}", "\"", "= ", "relays", "cores", "goal", "capture", "/*", "*/", "#",
                "<<EOF\n", "${", "1e999", "-", "[", "]", "true"),
                "kind \"k\" {\n  cores = 2\n  memory_mb = 4\n  reading_ms = 3\n}\nzone \"a\" { relays = { k = 2 } }\n"
                + "group \"g\" {\n  slo_ms = 400\n  timeout_ms = 900\n  share = 1\n}\nstubs \"s\" { count = 1 }\n",
                "goal \"g\" {\n  service = 0.9\n  zones_lost = [\"a\"]\n}\n",
                "capture {\n  directory = \"d\"\n  zone = \"z\"\n  kind = \"k\"\n  subject_key = "
                + "\"00112233445566778899aabbccddeeff\"\n}\n") {
            @Override
            public void run(byte[] input) {
                String text = new String(input, StandardCharsets.UTF_8);
                Fleet fleet = null;
                for (int i = 0; i < 3; i++) {
                    try {
                        ConfigBlock root = ConfigBlock.parse("f", text);
                        if (i == 0) {
                            fleet = FleetFileReader.read(root);
                            checkComplete(fleet);
                        } else if (i == 1) {
                            CaptureConfig.readFrom(root);
                            root.check();
                        } else if (fleet != null) {
                            Goal.read(root, fleet);
                        }
                    } catch (ConfigErrors e) {
                        if (e.messages.isEmpty()) {
                            throw new InvariantViolation("a file is rejected without a message");
                        }
                        for (String each : e.messages) {
                            if (!each.startsWith("f:")) {
                                throw new InvariantViolation("an error message does not begin with its position");
                            }
                        }
                    }
                }
            }

            private void checkComplete(Fleet fleet) {
                if (fleet.instanceCount() < 1 || fleet.stubCount() < 1 || fleet.groups.isEmpty()) {
                    throw new InvariantViolation("an incomplete fleet is accepted");
                }
            }
        };
    }

    static Target capture() {
        return new Target() {
            private List<byte[]> seeds;

            @Override
            public String name() {
                return "capture";
            }

            @Override
            public List<Class<?>> covers() {
                return List.of(Capture.class);
            }

            @Override
            public void run(byte[] input) {
                try {
                    Capture capture = Capture.read(Path.of("c"), input);
                    if (capture.rows != capture.arrivedAt.length || capture.rows != capture.retryAfter.length) {
                        throw new InvariantViolation("columns have different lengths");
                    }
                } catch (CaptureException e) {
                    checkOneLine(e.getMessage());
                }
                // With a corrected checksum, corrupt content gets past the checksum check to the parser behind it.
                byte[] corrected = withCorrectChecksum(input);
                if (corrected != null) {
                    try {
                        Capture.read(Path.of("c"), corrected);
                    } catch (CaptureException e) {
                        checkOneLine(e.getMessage());
                    }
                }
            }

            private byte[] withCorrectChecksum(byte[] input) {
                if (input.length < 17 || input[0] != 'V') {
                    return null;
                }
                byte[] out = input.clone();
                int length = Math.min(input.length - 16, Math.max(1, (input[8] & 0xff) << 24 | (input[9] & 0xff) << 16
                        | (input[10] & 0xff) << 8 | input[11] & 0xff));
                java.util.zip.CRC32C checksum = new java.util.zip.CRC32C();
                checksum.update(out, 16, length);
                for (int i = 0; i < 4; i++) {
                    out[8 + i] = (byte) (length >>> 24 - 8 * i);
                    out[12 + i] = (byte) ((int) checksum.getValue() >>> 24 - 8 * i);
                }
                return out;
            }

            @Override
            public List<byte[]> seeds() {
                if (seeds == null) {
                    seeds = new ArrayList<>();
                    try {
                        Path folder = Files.createTempDirectory("vetchrill-seed");
                        var writer = new vetchrill.capture.CaptureWriter(CaptureConfig.readFrom(ConfigBlock.parse("o",
                                "capture {\n directory = \"" + folder
                                        + "\"\n zone = \"z\"\n kind = \"k\"\n subject_key = "
                                + "\"00112233445566778899aabbccddeeff\"\n}\n")),
                                Map.of("name", "r1", "started", "1", "settings", SETTINGS));
                        for (int i = 0; i < 3; i++) {
                            var row = writer.claimExchangeRow();
                            row.arrivedAt = 1_000 + i;
                            row.dequeuedAt = 1_010 + i;
                            row.kb = 20;
                            row.answeredAt = 1_020 + i;
                            row.answerKind = vetchrill.routing.Recorder.DENIED;
                            writer.put(row);
                        }
                        writer.close();
                        seeds.add(Files.readAllBytes(writer.file()));
                        Files.delete(writer.file());
                        Files.delete(folder);
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                }
                return seeds;
            }
        };
    }
}
