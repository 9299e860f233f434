package vetchrill.program;

import java.io.IOException;
import java.net.BindException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
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
        // Before all that takes time: either signal ends a process that has no handler for it yet, and what the system
        // accepted for it by then would be lost.
        LinkedBlockingQueue<Notice> signals = new LinkedBlockingQueue<>();
        List<String> ignored = handle(signals, clock);
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
            listener = bind(start, limits, clock, chain, signals);
        } catch (IOException e) {
            System.err.println("vetchrill: can't listen on " + start.listen + ": " + e.getMessage());
            return 2;
        }
        if (listener == null) {
            return 0;
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
        LinkedBlockingQueue<Long> stops = new LinkedBlockingQueue<>();
        for (String name : ignored) {
            // The runtime leaves it so: whoever started this process from under nohup, say, is to hear of it.
            LOG.log(System.Logger.Level.ERROR, "SIG{0} was ignored by whoever started this process and stays so: "
                    + (name.equals("HUP") ? "a new configuration" : "the notice to leave") + " is never heard; "
                    + "start it by env --default-signal=HUP,TERM", name);
        }
        Resources.daemon("decisions", () -> {
            try {
                thread.run(chain::decide);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, limits.threadStack * 4L).start();
        listener.start();
        chain.start(start.interpreter);
        // Last: what a signal asks for needs all of the above.
        Resources.daemon("signals", () -> follow(signals, stops, () -> reload(environment, now, chain),
                leftAt -> drain(now.get(), leftAt, clock, chain, listener, stops, over)), limits.threadStack).start();
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

    /** A signal, and when it came. */
    private record Notice(String name, long at) {
    }

    /** Handlers and not a hook at exit, since hooks run beside each other and end with 143. Those that are ignored. */
    private static List<String> handle(LinkedBlockingQueue<Notice> signals, Clock clock) {
        List<String> ignored = new ArrayList<>();
        for (String name : List.of("HUP", "TERM")) {
            if (sun.misc.Signal.handle(new sun.misc.Signal(name), signal -> signals.add(new Notice(name, clock.now())))
                    == sun.misc.SignalHandler.SIG_IGN) {
                ignored.add(name);
            }
        }
        return ignored;
    }

    /**
     * A process that drains under the same address holds it to its end: it is waited for, as nothing else would start
     * this one again. Null where the notice to leave comes first.
     */
    private static Listener bind(Start start, Limits limits, Clock clock, Chain chain,
            LinkedBlockingQueue<Notice> signals) throws IOException {
        long giveUpAt = clock.now() + limits.bindWait;
        boolean told = false;
        while (true) {
            try {
                return new Listener(start.listen, limits, chain::accepted);
            } catch (BindException e) {
                if (clock.now() >= giveUpAt) {
                    throw e;
                }
                if (!told) {
                    LOG.log(System.Logger.Level.WARNING, "can''t listen on {0} yet: {1}", start.listen, e.getMessage());
                }
                told = true;
                if (signals.stream().anyMatch(notice -> notice.name.equals("TERM"))) {
                    return null;
                }
                Resources.pause(limits.bindAgain);
            }
        }
    }

    /**
     * One thread takes signals in their order, so that of two files in a row the later one counts; the drain has its
     * own, and hears of what is read after the notice only.
     */
    private static void follow(LinkedBlockingQueue<Notice> signals, LinkedBlockingQueue<Long> stops,
            LongSupplier reload, LongFunction<Runnable> drain) {
        boolean leaving = false;
        try {
            while (true) {
                Notice notice = signals.take();
                if (notice.name.equals("HUP")) {
                    long stop = reload.getAsLong();
                    if (leaving) {
                        stops.add(stop);
                    }
                } else if (!leaving) {
                    leaving = true;
                    new Thread(drain.apply(notice.at), "drain").start();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * What the instance is and what it was told of its deployment stay; a file of no use changes nothing. The time from
     * the notice to the stop that holds now.
     */
    private static long reload(Map<String, String> environment, AtomicReference<Start> now, Chain chain) {
        try {
            Start told = new Start(environment);
            chain.move(told.interpreter, told.members);
            now.set(told);
            LOG.log(System.Logger.Level.INFO, "configuration read again: interpreter {0}, members {1}",
                    told.interpreter, told.members);
        } catch (IllegalArgumentException e) {
            LOG.log(System.Logger.Level.ERROR, "configuration not taken: {0}", e.getMessage());
        }
        return now.get().stop;
    }

    private static Runnable drain(Start start, long leftAt, Clock clock, Chain chain, Listener listener,
            LinkedBlockingQueue<Long> stops, CountDownLatch over) {
        return () -> {
            try {
                Drain.follow(clock, leftAt, start.stop, stops, stopAt -> Drain.steps(start.limits, chain, leftAt,
                        stopAt, listener::close, over::countDown));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                over.countDown();
            }
        };
    }
}
