package vetchrill.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.infra.Blackhole;
import vetchrill.capture.CaptureConfig;
import vetchrill.capture.CaptureWriter;
import vetchrill.files.Folders;
import vetchrill.hcl.ConfigBlock;
import vetchrill.routing.Recorder;

/**
 * Measures what recording one exchange costs the decision thread, with recording on and off. Each exchange is preceded
 * by some work: no instance handles a million exchanges a second, and without a pause the ring would be full, so that
 * only the rejected path would be measured.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class RecorderBench {
    /** In tokens of {@link Blackhole#consumeCPU}, about two nanoseconds each. */
    private static final int WORK_TOKENS_PER_EXCHANGE = 2_000;

    @Param({"off", "on"})
    public String recording;

    private CaptureWriter writer;
    private Path folder;
    private long time;

    @Setup(Level.Iteration)
    public void open() throws IOException {
        if (recording.equals("on")) {
            folder = Files.createTempDirectory("bench");
            writer =
                    new CaptureWriter(CaptureConfig.readFrom(ConfigBlock.parse("o.hcl",
                    "capture {\n directory = \"" + folder
                    + "\"\n zone = \"z\"\n kind = \"k\"\n subject_key = \"000102030405060708090a0b0c0d0e0f\"\n}\n")),
                    Map.of("name", "r1", "started", "1", "settings", "{}"));
        }
    }

    @TearDown(Level.Iteration)
    public void close() throws IOException {
        if (writer != null) {
            writer.close();
            Folders.deleteRecursively(folder);
        }
    }

    /** One recorded exchange, together with the work before it. */
    @Benchmark
    public long exchange() {
        Blackhole.consumeCPU(WORK_TOKENS_PER_EXCHANGE);
        long now = ++time;
        Recorder recorder = writer;
        if (recorder != null) {
            Recorder.ExchangeRow row = recorder.claimExchangeRow();
            if (row != null) {
                row.arrivedAt = now;
                row.dequeuedAt = now + 5;
                row.group = 1;
                row.customer = 1;
                row.stubNumber = 3;
                row.subject = now;
                row.kb = 24;
                row.bytes = 200;
                row.startedAt = now + 6;
                row.runDuration = 400;
                row.answeredAt = now + 410;
                row.answerKind = Recorder.COMPLETED;
                row.retryAfter = 0;
                row.noRetry = false;
                recorder.put(row);
            }
        }
        return now;
    }
}
