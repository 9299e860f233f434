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
import vetchrill.routing.Clock;
import vetchrill.routing.DecisionThread;
import vetchrill.routing.ProcessingChain;
import vetchrill.routing.Recorder;
import vetchrill.transport.Limits;
import vetchrill.transport.Listener;
import vetchrill.transport.Resources;

/** Runs one instance from its start to the end of its drain. */
public final class InstanceRunner {
    private static final System.Logger LOG = System.getLogger("vetchrill");
    private static final int EXIT_INVALID_CONFIGURATION = 2;
    private static final int EXIT_INTERNAL_ERROR = 70;

    private InstanceRunner() {
    }

    /** Serves until the drain that follows SIGTERM has ended; returns the exit code of the process. */
    public static int run(Map<String, String> environment) {
        return run(environment, null);
    }

    /** The same with a recorder, which may be null. */
    public static int run(Map<String, String> environment, Recorder recorder) {
        return run(environment, recorder, new Clock(), null);
    }

    /** A component that runs beside the chain, such as the exchange of versions with peers. */
    public interface Extension {
        /**
         * Called before the chain accepts connections.
         *
         * @throws IOException ends the process with exit code 2 and its message
         * @throws IllegalArgumentException likewise
         */
        void start(ProcessingChain chain) throws IOException;

        /** Called on the thread that ends the process, which waits for it. */
        void stop();
    }

    /** The same with a clock, and with an extension, which may be null. */
    public static int run(Map<String, String> environment, Recorder recorder, Clock clock, Extension extension) {
        // First of all: either signal ends a process that has no handler for it yet, and connections that the system
        // had accepted for it by then would be lost.
        LinkedBlockingQueue<ReceivedSignal> signals = new LinkedBlockingQueue<>();
        List<String> ignoredSignals = installSignalHandlers(signals, clock);
        StartConfiguration configuration;
        try {
            configuration = new StartConfiguration(environment);
        } catch (IllegalArgumentException e) {
            System.err.println("vetchrill: " + e.getMessage());
            return EXIT_INVALID_CONFIGURATION;
        }
        Limits limits = configuration.limits;
        DecisionThread thread = new DecisionThread(clock, limits);
        ProcessingChain chain = new ProcessingChain(configuration.settings, configuration.seed, clock, thread,
                new MembershipCall(configuration.membershipAddress, configuration.name, limits), limits, recorder);
        Listener listener;
        try {
            listener = bind(configuration, limits, clock, chain, signals);
        } catch (IOException e) {
            System.err.println("vetchrill: can't listen on " + configuration.listenAddress + ": " + e.getMessage());
            return EXIT_INVALID_CONFIGURATION;
        }
        if (listener == null) {
            return 0;
        }
        try {
            if (extension != null) {
                extension.start(chain);
            }
        } catch (IOException | IllegalArgumentException e) {
            System.err.println("vetchrill: " + e.getMessage());
            return EXIT_INVALID_CONFIGURATION;
        }
        Thread.setDefaultUncaughtExceptionHandler(
                new ThreadFailureHandler(System.err, () -> Runtime.getRuntime().halt(EXIT_INTERNAL_ERROR)));
        CountDownLatch drained = new CountDownLatch(1);
        AtomicReference<StartConfiguration> current = new AtomicReference<>(configuration);
        LinkedBlockingQueue<Long> reloadedDrainTimes = new LinkedBlockingQueue<>();
        for (String name : ignoredSignals) {
            // The runtime installs no handler then, so whoever started the process, with nohup for example, is warned.
            LOG.log(System.Logger.Level.ERROR, "SIG{0} was ignored by the parent of this process and remains ignored: "
                    + (name.equals("HUP") ? "the configuration is never reloaded" : "a drain can''t be requested")
                    + "; start it with env --default-signal=HUP,TERM", name);
        }
        Resources.newDaemonThread("decisions", () -> {
            try {
                thread.run(chain::executeDecisions);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, limits.threadStackBytes * 4L).start();
        listener.start();
        chain.start(configuration.interpreterAddress);
        // Last, since handling a signal needs all of the above.
        Resources.newDaemonThread("signals",
                () -> handleSignals(signals, reloadedDrainTimes, () -> reloadConfiguration(environment, current, chain),
                        drainNoticeAt -> drainTask(current.get(), drainNoticeAt, clock, chain, listener,
                                reloadedDrainTimes, drained)),
                limits.threadStackBytes).start();
        LOG.log(System.Logger.Level.INFO, "{0} listens on {1}; {2} connections at most, {3} MB", configuration.name,
                configuration.listenAddress, limits.targetConnections, limits.memoryBytes >> 20);
        try {
            drained.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (extension != null) {
            extension.stop();
        }
        if (recorder != null) {
            recorder.close();
        }
        return 0;
    }

    /** A signal and when it was received. */
    private record ReceivedSignal(String name, long receivedAt) {
    }

    /**
     * Installs handlers, not shutdown hooks, since hooks run concurrently and the process would exit with 143. Returns
     * the names of the signals that are ignored.
     */
    private static List<String> installSignalHandlers(LinkedBlockingQueue<ReceivedSignal> signals, Clock clock) {
        List<String> ignored = new ArrayList<>();
        for (String name : List.of("HUP", "TERM")) {
            if (sun.misc.Signal.handle(new sun.misc.Signal(name),
                    signal -> signals.add(new ReceivedSignal(name, clock.now())))
                    == sun.misc.SignalHandler.SIG_IGN) {
                ignored.add(name);
            }
        }
        return ignored;
    }

    /**
     * Binds the listener. Another process that drains under the same address holds it until it exits; this waits for
     * that, as nothing else would start this process again. Null if SIGTERM comes first.
     */
    private static Listener bind(StartConfiguration configuration, Limits limits, Clock clock, ProcessingChain chain,
            LinkedBlockingQueue<ReceivedSignal> signals) throws IOException {
        long deadline = clock.now() + limits.bindTimeoutTenthsMs;
        boolean logged = false;
        while (true) {
            try {
                return new Listener(configuration.listenAddress, limits, chain::onAccepted);
            } catch (BindException e) {
                if (clock.now() >= deadline) {
                    throw e;
                }
                if (!logged) {
                    LOG.log(System.Logger.Level.WARNING, "can''t listen on {0} yet: {1}", configuration.listenAddress,
                            e.getMessage());
                }
                logged = true;
                if (signals.stream().anyMatch(signal -> signal.name.equals("TERM"))) {
                    return null;
                }
                Resources.sleep(limits.bindRetryTenthsMs);
            }
        }
    }

    /**
     * Handles all signals in their order on one thread, so that of two configurations in a row the later one applies.
     * The drain has a thread of its own, and gets only the drain times that are reloaded after it was requested.
     */
    private static void handleSignals(LinkedBlockingQueue<ReceivedSignal> signals,
            LinkedBlockingQueue<Long> reloadedDrainTimes, LongSupplier reload, LongFunction<Runnable> drain) {
        boolean draining = false;
        try {
            while (true) {
                ReceivedSignal signal = signals.take();
                if (signal.name.equals("HUP")) {
                    long drainTime = reload.getAsLong();
                    if (draining) {
                        reloadedDrainTimes.add(drainTime);
                    }
                } else if (!draining) {
                    draining = true;
                    new Thread(drain.apply(signal.receivedAt), "drain").start();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Applies the service addresses and the drain time of a reloaded configuration; name and settings stay as
     * they were at the start, and an invalid configuration changes nothing. Returns the drain time that now applies.
     */
    private static long reloadConfiguration(Map<String, String> environment,
            AtomicReference<StartConfiguration> current, ProcessingChain chain) {
        try {
            StartConfiguration reloaded = new StartConfiguration(environment);
            chain.updateAddresses(reloaded.interpreterAddress, reloaded.membershipAddress);
            current.set(reloaded);
            LOG.log(System.Logger.Level.INFO, "configuration read again: interpreter {0}, members {1}",
                    reloaded.interpreterAddress, reloaded.membershipAddress);
        } catch (IllegalArgumentException e) {
            LOG.log(System.Logger.Level.ERROR, "configuration rejected: {0}", e.getMessage());
        }
        return current.get().drainTime;
    }

    private static Runnable drainTask(StartConfiguration configuration, long drainNoticeAt, Clock clock,
            ProcessingChain chain, Listener listener, LinkedBlockingQueue<Long> reloadedDrainTimes,
            CountDownLatch drained) {
        return () -> {
            try {
                DrainStep.runAll(clock, drainNoticeAt, configuration.drainTime, reloadedDrainTimes,
                        stopAt -> DrainStep.steps(configuration.limits, chain, drainNoticeAt, stopAt, listener::close,
                                drained::countDown));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                drained.countDown();
            }
        };
    }
}
