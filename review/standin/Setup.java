import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Configurations of a small deployment, after deploy/example.json. */
final class Setup {
    private Setup() {
    }

    /** {@code write} is the effect of the class write, {@code window} its time for repeats in milliseconds. */
    static Path config(Rig rig, String name, int listen, int vm, int members, int stopMs, int memoryMb, int sockets,
            String write, int window) throws IOException {
        String text = "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + listen + "\",\"vm\":\"127.0.0.1:" + vm
                + "\",\"members\":\"127.0.0.1:" + members + "\",\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":" + stopMs
                + ",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "},"
                + "\"settings\":{\"categories\":["
                + "{\"name\":\"read\",\"effect\":\"free\",\"aimMs\":1500,\"deadlineMs\":3700,\"gain\":1,"
                + "\"lateShare\":0.2,\"keyTtlMs\":5000},"
                + "{\"name\":\"write\",\"effect\":\"" + write + "\",\"aimMs\":2500,\"deadlineMs\":6000,\"gain\":3,"
                + "\"lateShare\":0.2,\"keyTtlMs\":" + window + "}],"
                + "\"customers\":[{\"name\":\"acme\",\"allowancePerS\":100,\"share\":1}],\"servers\":3,"
                + "\"familyInfo\":{\"below\":\"off\",\"callers\":3,\"callsByClass\":[false,false],\"cold\":false,"
                + "\"cores\":6,\"freshMs\":0,\"idleMs\":15000,\"keyKb\":70.45,\"listFollows\":true,"
                + "\"meters\":[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"],\"passesDeadline\":false,"
                + "\"preemption\":\"off\",\"ramKb\":9738,\"runMemFactor\":4,\"say\":\"off\",\"tellsGone\":false},"
                + "\"guarantees\":{\"answerSlackMs\":100,\"coldMs\":16000,\"coldShare\":0.2,\"fallMultiple\":8,"
                + "\"stopSendingWithinMs\":2500,\"tipAfterMs\":1500},"
                + "\"limits\":{\"maxRetryAfterMs\":1000,\"retryAfter\":true},\"overShareWorth\":0.1,"
                + "\"quantumMs\":5,\"clients\":{\"marksRetry\":false},\"tier\":0,\"valueBy\":\"request\"}}";
        Path file = rig.temp.resolve(name + ".json");
        Files.writeString(file, text);
        return file;
    }
}
