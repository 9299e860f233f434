package vetchrill.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

@Test
public class ThreadFailureHandlerTest {
    /** Guards against a process that stays and answers nothing, as the heap was full when its failure was reported. */
    public void processEndsThoughTheFailureCannotBeReported() {
        PrintStream failingLog = new PrintStream(OutputStream.nullOutputStream()) {
            @Override
            public void println(String line) {
                throw new OutOfMemoryError("Java heap space");
            }
        };
        AtomicInteger halts = new AtomicInteger();
        ThreadFailureHandler handler = new ThreadFailureHandler(failingLog, halts::incrementAndGet);
        assertThrows(OutOfMemoryError.class,
                () -> handler.uncaughtException(Thread.currentThread(), new IllegalStateException()));
        assertEquals(halts.get(), 1);
    }
}
