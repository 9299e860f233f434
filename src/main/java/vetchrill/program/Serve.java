package vetchrill.program;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import vetchrill.protocol.MembershipCall;
import vetchrill.routing.Chain;
import vetchrill.routing.Clock;
import vetchrill.routing.DecisionThread;
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
        Start start;
        try {
            start = new Start(environment);
        } catch (IllegalArgumentException e) {
            System.err.println("vetchrill: " + e.getMessage());
            return 2;
        }
        Limits limits = start.limits;
        Clock clock = new Clock();
        DecisionThread thread = new DecisionThread(clock, limits);
        Chain chain = new Chain(start.facts, start.seed, clock, thread,
                new MembershipCall(start.members, start.name, limits), limits);
        Listener listener;
        try {
            listener = new Listener(start.listen, limits, chain::accepted);
        } catch (IOException e) {
            System.err.println("vetchrill: can't listen on " + start.listen + ": " + e.getMessage());
            return 2;
        }
        Thread.setDefaultUncaughtExceptionHandler((where, e) -> {
            // An instance that lost a thread is not to go on half dead while it still reports that it is well.
            System.err.println("vetchrill: thread " + where.getName() + " failed");
            e.printStackTrace();
            Runtime.getRuntime().halt(70);
        });
        CountDownLatch over = new CountDownLatch(1);
        onTerm(() -> drain(start, clock, chain, listener, over));
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
        return 0;
    }

    /** A signal handler and not a hook at exit, since hooks run beside each other and end with 143. */
    private static void onTerm(Runnable drain) {
        boolean[] told = new boolean[1];
        sun.misc.Signal.handle(new sun.misc.Signal("TERM"), signal -> {
            if (!told[0]) {
                told[0] = true;
                new Thread(drain, "drain").start();
            }
        });
    }

    private static void drain(Start start, Clock clock, Chain chain, Listener listener, CountDownLatch over) {
        Limits limits = start.limits;
        long stopAt = clock.now() + start.stop;
        chain.leave(stopAt);
        try {
            sleepUntil(clock, stopAt - limits.lastConnections);
            chain.takeNothingNew();
            sleepUntil(clock, stopAt - limits.shutListener);
            listener.close();
            sleepUntil(clock, stopAt - limits.shutReading);
            chain.closeAll();
            sleepUntil(clock, stopAt - limits.shutAll);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        over.countDown();
    }

    private static void sleepUntil(Clock clock, long time) throws InterruptedException {
        long left = time - clock.now();
        if (left > 0) {
            Thread.sleep(left / 10, (int) (left % 10) * 100_000);
        }
    }
}
