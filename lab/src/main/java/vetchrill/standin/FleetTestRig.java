package vetchrill.standin;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;
import vetchrill.fleet.Fault;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.Fleet.StubPool;
import vetchrill.model.ClientRequest;
import vetchrill.model.ClientStub;
import vetchrill.model.ServiceStatistics;
import vetchrill.model.StubPolicy;
import vetchrill.model.Workload;

/**
 * Runs a small fleet in real time: real instance processes on loopback, with fake interpreters, a fake membership
 * service and client stubs. The load is open loop: the times of first attempts are drawn in advance, and an attempt is
 * sent at its time whatever has become of the earlier ones. One thread owns the state of all stubs; it measures its own
 * lateness. Times are in tenths of a millisecond since the start of the load.
 */
public final class FleetTestRig implements Closeable {
    /** A run is invalid if the 99th percentile of the lateness of first attempts is above this. */
    private static final long MAX_LATENESS_TENTHS_MS = 250;
    /** Limit on the wait for attempts that are still being read when the load has ended. */
    private static final long MAX_READING_TENTHS_MS = 150_000;
    /** How long the run goes on after the last attempt may have timed out. */
    private static final long FINISH_GRACE_TENTHS_MS = 1_000;
    private static final long SILENCE_CHECK_PERIOD_TENTHS_MS = 500;
    private static final long NANOS_PER_TENTH_MS = 100_000;
    private static final int MAX_OPEN_ATTEMPTS_PER_CONNECTION = 32;
    private static final int CONNECT_TIMEOUT_MS = 200;
    private static final int START_TIMEOUT_S = 60;
    private static final int SETTLE_MS = 500;
    private static final int FINISH_POLL_MS = 20;
    private static final int EXIT_GRACE_MS = 5_000;

    /** An attempt that arrived at an instance, as the load generator knows it; the planner never sees it. */
    public record AttemptArrival(int instance, int stub, long stampMs, int bodyBytes, float sizeKb,
            boolean firstAttempt) {
    }

    /** One attempt of a stub, bound to the incarnation of the instance that it was sent to. */
    private static final class Attempt {
        final ClientRequest request;
        final LoadStub stub;
        final InstanceProcess instance;
        final int incarnation;
        final String id;
        /** What the fake interpreter knows of it; null until the attempt has arrived at the machine. */
        InstanceProcess.ExpectedExchange expected;
        boolean ended;

        Attempt(ClientRequest request, LoadStub stub, InstanceProcess instance, String id) {
            this.request = request;
            this.stub = stub;
            this.instance = instance;
            this.id = id;
            incarnation = instance.incarnation;
        }
    }

    /** A request of the load with its body and the core time of its run. */
    private static final class GeneratedRequest extends ClientRequest {
        final double coreTime;
        final byte[] body;

        GeneratedRequest(int group, int customer, long subject, double sizeKb, int bodyBytes, long receivedAt,
                long deadline, double coreTime, byte[] body) {
            super(group, customer, subject, sizeKb, bodyBytes, receivedAt, deadline);
            this.coreTime = coreTime;
            this.body = body;
        }
    }

    /** A client stub that sends its attempts to the real instances. */
    private final class LoadStub extends ClientStub {
        /** The open connections, by the number of the instance. */
        final List<List<StubConnection>> connections = new ArrayList<>();

        LoadStub(StubPool pool, int number, StubPolicy policy) {
            super(fleet, pool, number, policy, statistics);
            for (int i = 0; i < instances.size(); i++) {
                connections.add(new ArrayList<>());
            }
        }

        @Override
        protected void sendAttempt(ClientRequest request, int instanceNumber, long attemptDeadline, long now) {
            InstanceProcess instance = instances.get(instanceNumber);
            Attempt attempt = new Attempt(request, this, instance,
                    String.format("%016x", ids.incrementAndGet() << 8 | instanceNumber));
            schedule(now + networkDelay(this, instance), () -> onArrival(attempt));
            schedule(attemptDeadline, () -> onAnswer(attempt, ClientRequest.Answer.TIMED_OUT, 0, false));
        }

        @Override
        protected void scheduleRetry(ClientRequest request, long time) {
            schedule(time, () -> retry(request, now()));
        }

        @Override
        protected void onFinished(ClientRequest request, ClientRequest.Answer answer, long now) {
            if (answer == ClientRequest.Answer.COMPLETED) {
                latency.recordValue(Math.max(0, now - request.receivedAt));
            }
        }

        void onAnswer(Attempt attempt, ClientRequest.Answer answer, long retryAfter, boolean doNotRetry) {
            if (!attempt.ended) {
                attempt.ended = true;
                if (attempt.expected != null) {
                    attempt.expected.attemptEnded = true;
                }
                attemptEnded(attempt.request, attempt.instance.number, answer, retryAfter, doNotRetry, now());
            }
        }
    }

    /** A connection of a stub to an instance; it takes no more attempts once it is closing. */
    private static final class StubConnection {
        final Socket socket;
        final Map<Integer, Attempt> openAttempts = new HashMap<>();
        int lastStream;
        boolean closing;

        StubConnection(Socket socket) {
            this.socket = socket;
        }
    }

    private final Fleet fleet;
    private final Workload workload;
    private final long duration;
    private final Path folder;
    private final SplittableRandom random;
    private final ScheduledThreadPoolExecutor eventLoop = new ScheduledThreadPoolExecutor(1, work -> {
        Thread thread = new Thread(work, "load");
        thread.setDaemon(true);
        return thread;
    });
    private final FakeMembershipService membership;
    private final List<InstanceProcess> instances = new ArrayList<>();
    private final List<LoadStub> stubs = new ArrayList<>();
    /** By the number of the instance, whether the directory lists it. */
    private final boolean[] listed;
    /** Instances report no queue lengths here: a stub that goes by them chooses at random. */
    private final int[] reportedQueues;
    private final long[] lastReportAt;
    /** The state that each instance reported last; null before its first report. */
    private final Boolean[] reportedUp;
    private final CountDownLatch allUp;
    /** Instances that a fault keeps down: a rolling restart must not start them. */
    private final Set<InstanceProcess> downWithZone = new HashSet<>();
    /** Attempts that arrived at a machine and are not yet forwarded to its instance. */
    private final Set<Attempt> pendingReads = new HashSet<>();
    private final List<AttemptArrival> arrivals = new ArrayList<>();
    private final Histogram lateness = new Histogram(3);
    private final Recorder latency = new Recorder(3);
    private final AtomicLong ids = new AtomicLong();
    private long loadStartNanos;
    private final ServiceStatistics statistics;
    private int wrongResults;
    /** The size of {@link #pendingReads}, for other threads. */
    private volatile int pendingReadCount;
    private volatile boolean stopping;
    private volatile boolean loadStarted;
    private volatile Exception failure;
    /** Leaves no process behind if this one is terminated during a run. */
    private final Thread killHook = new Thread(this::killAll);

    /**
     * Creates a rig whose load lasts for {@code duration}.
     *
     * @param folder for configurations, logs and captures
     * @param captureFlushMs the longest time until the instances write a row of their captures; 0 for no captures
     */
    public FleetTestRig(Fleet fleet, Workload workload, long duration, long seed, Path folder, int captureFlushMs)
            throws IOException {
        this.fleet = fleet;
        this.workload = workload;
        this.duration = duration;
        this.folder = folder;
        random = new SplittableRandom(seed);
        statistics = new ServiceStatistics(fleet, duration);
        Files.createDirectories(folder.resolve("captures"));
        int size = fleet.instanceCount();
        listed = new boolean[size];
        reportedQueues = new int[size];
        lastReportAt = new long[size];
        reportedUp = new Boolean[size];
        allUp = new CountDownLatch(size);
        membership = new FakeMembershipService(this::onReport);
        for (Fleet.InstancePlacement place : fleet.placements()) {
            instances.add(new InstanceProcess(fleet, folder, membership.port(), captureFlushMs, instances.size(),
                    place.zone(), place.kind(), seed));
        }
        StubPolicy.InstanceDirectory directory = StubPolicy.InstanceDirectory.of(listed);
        for (StubPool pool : fleet.pools) {
            for (int i = 0; i < pool.count(); i++) {
                stubs.add(new LoadStub(pool, stubs.size(),
                        new StubPolicy(pool, i, directory, reportedQueues, random.split())));
            }
        }
    }

    private long now() {
        return (System.nanoTime() - loadStartNanos) / NANOS_PER_TENTH_MS;
    }

    /** Runs the action on the event loop at the given time. */
    private void schedule(long time, Runnable action) {
        eventLoop.schedule(() -> runGuarded(action),
                Math.max(0, loadStartNanos + time * NANOS_PER_TENTH_MS - System.nanoTime()), TimeUnit.NANOSECONDS);
    }

    private void runOnLoop(Runnable action) {
        if (!stopping) {
            eventLoop.execute(() -> runGuarded(action));
        }
    }

    /** Records the failure of an action, which the executor would discard, so that {@link #finish} can report it. */
    private void runGuarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            failure = e;
        }
    }

    /** Starts the instances, runs the load for its whole duration and shuts the instances down. */
    public RigResult run() throws IOException, InterruptedException {
        start();
        startLoad();
        long end = duration + fleet.longestTimeout() + FINISH_GRACE_TENTHS_MS;
        // Attempts that have arrived are still read, even if that takes an overloaded machine long.
        while (now() < end || pendingReadCount > 0 && now() < end + MAX_READING_TENTHS_MS) {
            Thread.sleep(FINISH_POLL_MS);
        }
        return finish();
    }

    /** Starts all instances and waits until they are up. */
    public void start() throws IOException, InterruptedException {
        Runtime.getRuntime().addShutdownHook(killHook);
        for (InstanceProcess instance : instances) {
            instance.start(false);
        }
        for (int tenths = 0; !allUp.await(100, TimeUnit.MILLISECONDS); tenths++) {
            boolean dead = instances.stream().anyMatch(instance -> !instance.isUp());
            if (dead || tenths > 10 * START_TIMEOUT_S) {
                throw new IOException((dead ? "an instance exited during startup" : "not all instances were up after "
                        + START_TIMEOUT_S + " s") + "; see the logs in " + folder);
            }
        }
        // The instances have only just reported: let the rest of their startup pass.
        Thread.sleep(SETTLE_MS);
    }

    /** Starts the load and schedules the faults; time 0 is now. */
    public void startLoad() {
        loadStartNanos = System.nanoTime();
        Arrays.fill(listed, true);
        loadStarted = true;
        for (Fault fault : fleet.faults) {
            scheduleFault(fault);
        }
        SplittableRandom loadRandom = random.split();
        runOnLoop(() -> scheduleNextRequest(0, loadRandom));
        schedule(0, this::delistSilentInstances);
    }

    /** The requests and their outcomes; it is updated while the load runs. */
    public ServiceStatistics statistics() {
        return statistics;
    }

    /** The times from the intended start of each request to its completion, since the last call. */
    public Histogram latency() {
        return latency.getIntervalHistogram();
    }

    /** The time since the start of the load; 0 before it. */
    public long elapsed() {
        return loadStarted ? now() : 0;
    }

    /** Shuts the instances down and returns the result. Throws if an action of the rig has failed. */
    public RigResult finish() throws IOException, InterruptedException {
        stopping = true;
        for (InstanceProcess instance : instances) {
            instance.shutDown();
        }
        for (InstanceProcess instance : instances) {
            if (instance.process != null) {
                instance.process.waitFor(fleet.rules.stopTimeout() / 10 + EXIT_GRACE_MS, TimeUnit.MILLISECONDS);
            }
        }
        int duplicateRuns = 0;
        int corruptedBodies = 0;
        for (InstanceProcess instance : instances) {
            duplicateRuns += instance.duplicateRuns;
            corruptedBodies += instance.corruptedBodies;
        }
        close();
        if (failure != null) {
            throw new IOException("the test rig failed: " + failure, failure);
        }
        return new RigResult(statistics, List.copyOf(arrivals), folder.resolve("captures"),
                lateness.getTotalCount() == 0 ? 0 : lateness.getValueAtPercentile(99),
                lateness.getTotalCount() > 0 && lateness.getValueAtPercentile(99) > MAX_LATENESS_TENTHS_MS,
                wrongResults, duplicateRuns, corruptedBodies);
    }

    // Load generation.

    /** Draws the time of the next request by thinning a Poisson process of the peak rate. */
    private void scheduleNextRequest(long from, SplittableRandom loadRandom) {
        double peakRate = workload.peakRate() * Math.max(1, maxBurst());
        double next = from;
        do {
            next -= Math.log(1 - loadRandom.nextDouble()) / peakRate;
        } while (next < duration
                && loadRandom.nextDouble() * peakRate > workload.rate((long) next) * burstAt((long) next));
        long time = (long) Math.ceil(next);
        if (time < duration && !stopping) {
            schedule(time, () -> {
                sendRequest(time, loadRandom);
                scheduleNextRequest(time, loadRandom);
            });
        }
    }

    private double maxBurst() {
        double max = 1;
        for (Fault fault : fleet.faults) {
            max = fault instanceof Fault.Burst each ? Math.max(max, each.rateFactor()) : max;
        }
        return max;
    }

    private double burstAt(long time) {
        double factor = 1;
        for (Fault fault : fleet.faults) {
            if (fault instanceof Fault.Burst each && time >= each.from() && time < each.until()) {
                factor = each.rateFactor();
            }
        }
        return factor;
    }

    private void sendRequest(long time, SplittableRandom loadRandom) {
        lateness.recordValue(Math.max(0, now() - time));
        int group = workload.group(loadRandom);
        byte[] body = new byte[workload.bodyBytes(group, loadRandom)];
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) loadRandom.nextInt();
        }
        GeneratedRequest request = new GeneratedRequest(group, workload.customer(loadRandom),
                workload.subject(loadRandom), Math.round(workload.sizeKb(group, loadRandom) * 1_000) / 1_000.0,
                body.length, time, time + fleet.groups.get(group).asyncTimeout(),
                workload.coreTime(group, loadRandom), body);
        statistics.onRequest(request);
        stubs.get(loadRandom.nextInt(stubs.size())).send(request, now());
    }

    private long networkDelay(LoadStub stub, InstanceProcess instance) {
        return stub.zone == instance.zone ? fleet.network.withinZone() : fleet.network.acrossZones();
    }

    /** The attempt has arrived at the machine, which spends core time on reading it before the instance receives it. */
    private void onArrival(Attempt attempt) {
        InstanceProcess instance = attempt.instance;
        if (!instance.isUp() || attempt.incarnation != instance.incarnation) {
            scheduleAnswer(attempt, ClientRequest.Answer.UNREACHABLE, 0, false);
            return;
        }
        GeneratedRequest request = (GeneratedRequest) attempt.request;
        long stamp = System.currentTimeMillis();
        arrivals.add(new AttemptArrival(instance.number, attempt.stub.number, stamp, request.bodyBytes,
                (float) request.sizeKb, request.attempts == 1));
        attempt.expected = new InstanceProcess.ExpectedExchange(request.coreTime, request.body,
                fleet.groups.get(request.group).effect() == Fleet.Effect.MUTATING);
        instance.expectedExchanges.put(attempt.id, attempt.expected);
        pendingReads.add(attempt);
        pendingReadCount = pendingReads.size();
        instance.machine.execute(instance.kind.readingTime(), () -> runOnLoop(() -> forwardToInstance(attempt, stamp)));
    }

    private void forwardToInstance(Attempt attempt, long stamp) {
        boolean wasPending = pendingReads.remove(attempt);
        pendingReadCount = pendingReads.size();
        if (!wasPending || attempt.incarnation != attempt.instance.incarnation) {
            return;
        }
        GeneratedRequest request = (GeneratedRequest) attempt.request;
        try {
            StubConnection connection = connectionTo(attempt.stub, attempt.instance);
            int stream = ++connection.lastStream;
            connection.openAttempts.put(stream, attempt);
            connection.socket.getOutputStream().write(StubFrames.frame(StubFrames.EXCHANGE, stream,
                    StubFrames.payload(request.body,
                    "method", fleet.groups.get(request.group).name(), "rid", attempt.id, "t0", Long.toString(stamp),
                    "peer", Integer.toString(attempt.stub.number), "acct", fleet.customers.get(request.customer).name(),
                    "mem", String.format(Locale.ROOT, "%.3f", request.sizeKb), "prio", "0.5",
                    "obj", String.format("%016x", request.subject))));
        } catch (IOException e) {
            scheduleAnswer(attempt, ClientRequest.Answer.UNREACHABLE, 0, false);
        }
    }

    /** Returns a connection with a free stream, and opens one if there is none. */
    private StubConnection connectionTo(LoadStub stub, InstanceProcess instance) throws IOException {
        List<StubConnection> connections = stub.connections.get(instance.number);
        for (StubConnection connection : connections) {
            if (!connection.closing && connection.openAttempts.size() < MAX_OPEN_ATTEMPTS_PER_CONNECTION) {
                return connection;
            }
        }
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), instance.port), CONNECT_TIMEOUT_MS);
        StubConnection connection = new StubConnection(socket);
        connections.add(connection);
        LoopbackServers.daemonThread("answers", () -> readFrames(stub, instance, connection)).start();
        return connection;
    }

    private void readFrames(LoadStub stub, InstanceProcess instance, StubConnection connection) {
        try (DataInputStream in = new DataInputStream(
                new BufferedInputStream(connection.socket.getInputStream()))) {
            for (StubFrames.Frame frame = StubFrames.read(in); frame != null; frame = StubFrames.read(in)) {
                StubFrames.Frame received = frame;
                runOnLoop(() -> onFrame(connection, received));
            }
        } catch (IOException e) {
            // Handled like the end of the connection.
        }
        runOnLoop(() -> {
            stub.connections.get(instance.number).remove(connection);
            connection.closing = true;
            for (Attempt attempt : connection.openAttempts.values()) {
                scheduleAnswer(attempt, ClientRequest.Answer.RESET, 0, false);
            }
            connection.openAttempts.clear();
        });
    }

    private void onFrame(StubConnection connection, StubFrames.Frame frame) {
        if (frame.type() == StubFrames.GO_AWAY) {
            connection.closing = true;
        } else if (frame.type() == StubFrames.ANSWER) {
            Attempt attempt = connection.openAttempts.remove(frame.stream());
            if (attempt != null) {
                boolean completed = frame.code() == StubFrames.COMPLETED;
                if (completed && !Arrays.equals(frame.body(), InstanceProcess.resultOf(attempt.id))) {
                    wrongResults++;
                }
                scheduleAnswer(attempt, completed ? ClientRequest.Answer.COMPLETED : frame.code() == StubFrames.DENIED
                        ? ClientRequest.Answer.DENIED : ClientRequest.Answer.TERMINATED,
                        10 * Long.parseLong(frame.fields().getOrDefault("backoff", "0")),
                        frame.fields().containsKey("final"));
            }
        }
        if (connection.closing && connection.openAttempts.isEmpty()) {
            try {
                connection.socket.close();
            } catch (IOException e) {
                // The connection is not used any more either way.
            }
        }
    }

    /** Delivers the answer to the stub after the network delay. */
    private void scheduleAnswer(Attempt attempt, ClientRequest.Answer answer, long retryAfter, boolean doNotRetry) {
        schedule(now() + networkDelay(attempt.stub, attempt.instance),
                () -> attempt.stub.onAnswer(attempt, answer, retryAfter, doNotRetry));
    }

    // The directory of instances.

    private void onReport(String name, Boolean isUp, String requestLine) {
        int number = isUp == null || !name.startsWith("r") ? -1 : Integer.parseInt(name.substring(1)) - 1;
        if (number < 0 || number >= listed.length) {
            return;
        }
        runOnLoop(() -> {
            lastReportAt[number] = loadStarted ? now() : 0;
            if (isUp.equals(reportedUp[number])) {
                return;
            }
            if (reportedUp[number] == null) {
                allUp.countDown();
            }
            reportedUp[number] = isUp;
            int incarnation = instances.get(number).incarnation;
            if (loadStarted) {
                schedule(now() + fleet.directoryDelays.reportLag(), () -> {
                    if (instances.get(number).incarnation == incarnation) {
                        listed[number] = isUp;
                    }
                });
            }
        });
    }

    /** Removes from the directory the instances that have sent no report for the silence timeout. */
    private void delistSilentInstances() {
        long now = now();
        for (int i = 0; i < listed.length; i++) {
            if (now - lastReportAt[i] > fleet.directoryDelays.silenceTimeout()) {
                listed[i] = false;
                reportedUp[i] = Boolean.FALSE;
            }
        }
        if (!stopping) {
            schedule(now + SILENCE_CHECK_PERIOD_TENTHS_MS, this::delistSilentInstances);
        }
    }

    // Fault injection.

    private void scheduleFault(Fault fault) {
        if (fault instanceof Fault.Slowdown each) {
            List<InstanceProcess> drawn = drawInstances(each.instanceRatio());
            schedule(each.from(), () -> drawn.forEach(instance -> instance.machine.setSlowdown(each.slowdownFactor())));
            schedule(each.until(), () -> drawn.forEach(instance -> instance.machine.setSlowdown(1)));
        } else if (fault instanceof Fault.Crash each) {
            scheduleOutage(drawInstances(each.instanceRatio()), each.from(), each.until());
        } else if (fault instanceof Fault.ZoneLoss each) {
            scheduleOutage(instances.stream()
                    .filter(instance -> each.zones().contains(fleet.zones.get(instance.zone).name())).toList(),
                    each.from(), each.until());
        } else if (fault instanceof Fault.ConnectionReset each) {
            SplittableRandom resetRandom = random.split();
            schedule(each.from(), () -> resetConnections(each, resetRandom));
        } else if (fault instanceof Fault.RollingDeploy each) {
            scheduleRollingRestart(each.from());
        }
    }

    /** Resets the connections of one stub to one instance and closes the link of that instance's interpreter. */
    private void resetConnections(Fault.ConnectionReset fault, SplittableRandom resetRandom) {
        if (now() >= fault.until() || stopping) {
            return;
        }
        InstanceProcess instance = instances.get(resetRandom.nextInt(instances.size()));
        try {
            for (StubConnection connection
                    : stubs.get(resetRandom.nextInt(stubs.size())).connections.get(instance.number)) {
                connection.socket.setSoLinger(true, 0);
                connection.socket.close();
            }
            instance.closeInterpreterLink();
        } catch (IOException e) {
            failure = e;
        }
        schedule(now() + fault.period(), () -> resetConnections(fault, resetRandom));
    }

    /** Draws that share of the instances at random. */
    private List<InstanceProcess> drawInstances(double share) {
        List<InstanceProcess> remaining = new ArrayList<>(instances);
        List<InstanceProcess> drawn = new ArrayList<>();
        SplittableRandom drawRandom = random.split();
        for (long count = Math.round(share * instances.size()); count > 0; count--) {
            drawn.add(remaining.remove(drawRandom.nextInt(remaining.size())));
        }
        return drawn;
    }

    private void scheduleOutage(List<InstanceProcess> affected, long from, long until) {
        schedule(from, () -> {
            downWithZone.addAll(affected);
            affected.forEach(this::kill);
        });
        if (until < Long.MAX_VALUE) {
            // The fault ends when the instances are up again, so that they are started earlier by their start time.
            schedule(until - fleet.deploy.startTime(), () -> {
                affected.forEach(downWithZone::remove);
                affected.forEach(this::restart);
            });
        }
    }

    private void kill(InstanceProcess instance) {
        try {
            instance.kill();
        } catch (IOException e) {
            failure = e;
        }
        abortPendingReads(instance);
    }

    /** Resets the attempts that the machine was still reading when its instance ended. */
    private void abortPendingReads(InstanceProcess instance) {
        for (Attempt attempt : List.copyOf(pendingReads)) {
            if (attempt.instance == instance) {
                pendingReads.remove(attempt);
                pendingReadCount = pendingReads.size();
                scheduleAnswer(attempt, ClientRequest.Answer.RESET, 0, false);
            }
        }
    }

    private void restart(InstanceProcess instance) {
        try {
            if (!instance.isUp()) {
                reportedUp[instance.number] = Boolean.FALSE;
                lastReportAt[instance.number] = now();
                instance.start(true);
            }
        } catch (IOException e) {
            failure = e;
        }
    }

    private void scheduleRollingRestart(long from) {
        long batchStart = from;
        for (List<Integer> batch : fleet.deployBatches()) {
            schedule(batchStart, () -> batch.forEach(number -> drainAndRestart(instances.get(number))));
            batchStart += fleet.batchPeriod();
        }
    }

    private void drainAndRestart(InstanceProcess instance) {
        Process draining = instance.process;
        if (!instance.isUp()) {
            return;
        }
        int incarnation = instance.incarnation;
        instance.drain();
        draining.onExit().thenRun(() -> runOnLoop(() -> {
            if (instance.incarnation == incarnation && !downWithZone.contains(instance)) {
                abortPendingReads(instance);
                restart(instance);
            }
        }));
    }

    private void killAll() {
        for (InstanceProcess instance : instances) {
            Process process = instance.process;
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        stopping = true;
        try {
            Runtime.getRuntime().removeShutdownHook(killHook);
        } catch (IllegalStateException e) {
            // The JVM is already shutting down: the hook runs anyway.
        }
        eventLoop.shutdownNow();
        for (LoadStub stub : stubs) {
            for (List<StubConnection> connections : stub.connections) {
                for (StubConnection connection : connections) {
                    connection.socket.close();
                }
            }
        }
        for (InstanceProcess instance : instances) {
            instance.close();
        }
        membership.close();
    }
}
