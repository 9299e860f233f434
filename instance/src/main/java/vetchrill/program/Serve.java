package vetchrill.program;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicReference;
import vetchrill.protocol.MembershipCall;
import vetchrill.routing.Chain;
import vetchrill.routing.Clock;
import vetchrill.routing.DecisionThread;
import vetchrill.routing.Recorder;
import vetchrill.transport.Limits;
import vetchrill.transport.Listener;
import vetchrill.transport.Resources;

/** One instance from its start to the end of its drain. */
public final class Serve {
    private static final System.Logger LOG = System.getLogger("vetchrill");

    private Serve() {
    }

    /** Serves until SIGTERM has been followed to its end; what the process exits with. */
    public static int run(Map<String, String> environment) {
        return run(environment, null);
    }

    /** The same, with what it does written down by {@code recorder} unless that is null. */
    public static int run(Map<String, String> environment, Recorder recorder) {
        return run(environment, recorder, new Clock(), null);
    }

    /** Who is told of the chain before anything comes to it; what it throws ends the start with 2 and its message. */
    public interface Beside {
        void begin(Chain chain) throws IOException;

        /** On the thread that ends the process, which waits for it. */
        void end();
    }

    /** The same by a clock, and with something beside it unless that is null. */
    public static int run(Map<String, String> environment, Recorder recorder, Clock clock, Beside beside) {
        Start start;
        try {
            start = new Start(environment);
        } catch (IllegalArgumentException e) {
            System.err.println("vetchrill: " + e.getMessage());
            return 2;
        }
        Limits limits = start.limits;
        DecisionThread thread = new DecisionThread(clock, limits);
        Chain chain = new Chain(start.facts, start.seed, clock, thread,
                new MembershipCall(start.members, start.name, limits), limits, recorder);
        Listener listener;
        try {
            listener = new Listener(start.listen, limits, chain::accepted);
        } catch (IOException e) {
            System.err.println("vetchrill: can't listen on " + start.listen + ": " + e.getMessage());
            return 2;
        }
        try {
            if (beside != null) {
                beside.begin(chain);
            }
        } catch (IOException | IllegalArgumentException e) {
            System.err.println("vetchrill: " + e.getMessage());
            return 2;
        }
        Thread.setDefaultUncaughtExceptionHandler((where, e) -> {
            // An instance that lost a thread is not to go on half dead while it still reports that it is well.
            System.err.println("vetchrill: thread " + where.getName() + " failed");
            e.printStackTrace();
            Runtime.getRuntime().halt(70);
        });
        CountDownLatch over = new CountDownLatch(1);
        AtomicReference<Start> now = new AtomicReference<>(start);
        LinkedBlockingQueue<String> signals = new LinkedBlockingQueue<>();
        for (String name : List.of("HUP", "TERM")) {
            if (sun.misc.Signal.handle(new sun.misc.Signal(name), signal -> signals.add(name))
                    == sun.misc.SignalHandler.SIG_IGN) {
                // The runtime leaves it so: whoever started this process from under nohup, say, is to hear of it.
                LOG.log(System.Logger.Level.ERROR, "SIG{0} was ignored by whoever started this process and stays so: "
                        + (name.equals("HUP") ? "a new configuration" : "the notice to leave") + " is never heard; "
                        + "start it by env --default-signal=HUP,TERM", name);
            }
        }
        Resources.daemon("signals", () -> follow(signals, () -> reload(environment, now, chain),
                () -> drain(now.get(), clock, chain, listener, over)), limits.threadStack).start();
        Resources.daemon("decisions", () -> {
            try {
                thread.run(chain::decide);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, limits.threadStack * 4L).start();
        listener.start();
        chain.start(start.interpreter);
        LOG.log(System.Logger.Level.INFO, "{0} listens on {1}; {2} connections at most, {3} MB", start.name,
                start.listen, limits.connections, limits.memoryBytes >> 20);
        try {
            over.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (beside != null) {
            beside.end();
        }
        if (recorder != null) {
            recorder.close();
        }
        return 0;
    }

    /**
     * Handlers of signals and not a hook at exit, since hooks run beside each other and end with 143. One thread
     * takes them in their order, so that of two files in a row the later one counts; the drain has its own.
     */
    private static void follow(LinkedBlockingQueue<String> signals, Runnable reload, Runnable drain) {
        boolean leaving = false;
        try {
            while (true) {
                if (signals.take().equals("HUP")) {
                    reload.run();
                } else if (!leaving) {
                    leaving = true;
                    new Thread(drain, "drain").start();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** What the instance is and what it was told of its deployment stay; a file of no use changes nothing. */
    private static void reload(Map<String, String> environment, AtomicReference<Start> now, Chain chain) {
        try {
            Start told = new Start(environment);
            chain.move(told.interpreter, told.members);
            now.set(told);
            LOG.log(System.Logger.Level.INFO, "configuration read again: interpreter {0}, members {1}",
                    told.interpreter, told.members);
        } catch (IllegalArgumentException e) {
            LOG.log(System.Logger.Level.ERROR, "configuration not taken: {0}", e.getMessage());
        }
    }

    private static void drain(Start start, Clock clock, Chain chain, Listener listener, CountDownLatch over) {
        long stopAt = clock.now() + start.stop;
        try {
            for (Drain step : Drain.steps(start.limits, chain, stopAt, listener::close, over::countDown)) {
                sleepUntil(clock, step.at());
                step.act().run();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            over.countDown();
        }
    }

    private static void sleepUntil(Clock clock, long time) throws InterruptedException {
        long left = time - clock.now();
        if (left > 0) {
            Thread.sleep(left / 10, (int) (left % 10) * 100_000);
        }
    }
}
