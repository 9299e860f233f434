package vetchrill.standin;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
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
import vetchrill.fleet.Fleet;
import vetchrill.fleet.Fleet.Pool;
import vetchrill.fleet.Trouble;
import vetchrill.model.Asking;
import vetchrill.model.Chooser;
import vetchrill.model.Demand;
import vetchrill.model.Stub;
import vetchrill.model.Tally;

/**
 * A small fleet in real time: real instances as processes on loopback, with this project's interpreter, membership
 * service and client stubs. It is open loop: first tries are drawn ahead and go out at their times whatever has
 * become of those before them. One thread owns all that the stubs know; it says so when it was late itself.
 */
public final class Rig implements Closeable {
    /** First tries later than this at the 99th percentile make a run void, in tenths of a millisecond. */
    private static final long LATE = 250;
    private static final long LONGEST_READING = 150_000;
    private static final int OPEN_PER_CONNECTION = 32;
    private static final int START_S = 60;

    /** What the load's own side knows of a try that came to a relay; the planner never sees it. */
    public record Arrived(int relay, int stub, long stampMs, int bytes, float kb, boolean first) {
    }

    private static final class Sent {
        final Asking asking;
        final StubSide stub;
        final Seat seat;
        final int life;
        final String id;
        /** What the interpreter was told of it; null before it has come to its machine. */
        Seat.Due due;
        boolean done;

        Sent(Asking asking, StubSide stub, Seat seat, String id) {
            this.asking = asking;
            this.stub = stub;
            this.seat = seat;
            this.id = id;
            life = seat.life;
        }
    }

    private static final class Task extends Asking {
        final double work;
        final byte[] body;

        Task(int group, int customer, long subject, double kb, int bytes, long from, long until, double work,
                byte[] body) {
            super(group, customer, subject, kb, bytes, from, until);
            this.work = work;
            this.body = body;
        }
    }

    private final class StubSide extends Stub {
        final List<List<Line>> lines = new ArrayList<>();

        StubSide(Pool pool, int number, Chooser chooser) {
            super(fleet, pool, number, chooser, tally);
            for (int i = 0; i < seats.size(); i++) {
                lines.add(new ArrayList<>());
            }
        }

        @Override
        protected void go(Asking asking, int relay, long giveUpAt, long now) {
            Seat seat = seats.get(relay);
            Sent sent = new Sent(asking, this, seat, String.format("%016x", ids.incrementAndGet() << 8 | relay));
            at(now + delay(this, seat), () -> arrive(sent));
            at(giveUpAt, () -> answered(sent, Asking.Answer.TIMED_OUT, 0, false));
        }

        @Override
        protected void later(Asking asking, long time) {
            at(time, () -> goOn(asking, now()));
        }

        @Override
        protected void ended(Asking asking, Asking.Answer answer, long now) {
            if (answer == Asking.Answer.COMPLETED) {
                latency.recordValue(Math.max(0, now - asking.from));
            }
        }

        void answered(Sent sent, Asking.Answer answer, long away, boolean giveUp) {
            if (!sent.done) {
                sent.done = true;
                if (sent.due != null) {
                    sent.due.over = true;
                }
                tried(sent.asking, sent.seat.number, answer, away, giveUp, now());
            }
        }
    }

    private static final class Line {
        final Socket socket;
        final Map<Integer, Sent> open = new HashMap<>();
        int streams;
        boolean closing;

        Line(Socket socket) {
            this.socket = socket;
        }
    }

    private final Fleet fleet;
    private final Demand demand;
    private final long span;
    private final Path folder;
    private final SplittableRandom chance;
    private final ScheduledThreadPoolExecutor loop = new ScheduledThreadPoolExecutor(1, work -> {
        Thread thread = new Thread(work, "load");
        thread.setDaemon(true);
        return thread;
    });
    private final Membership membership;
    private final List<Seat> seats = new ArrayList<>();
    private final List<StubSide> stubs = new ArrayList<>();
    private final boolean[] listed;
    /** Nothing is reported here: a stub that goes by reports chooses by chance. */
    private final int[] reported;
    private final long[] heardAt;
    private final Boolean[] phase;
    private final CountDownLatch allUp;
    /** Gone with their zone, until that is back. */
    private final Set<Seat> lostFor = new HashSet<>();
    private final Set<Sent> reading = new HashSet<>();
    private final List<Arrived> arrived = new ArrayList<>();
    private final Histogram lateness = new Histogram(3);
    private final Recorder latency = new Recorder(3);
    private final AtomicLong ids = new AtomicLong();
    private long origin;
    private final Tally tally;
    private int wrongResults;
    /** As many as {@link #reading} has, for other threads. */
    private volatile int unread;
    private volatile boolean over;
    private volatile boolean began;
    private volatile Exception failed;
    /** Whoever is stopped in the middle leaves no process behind. */
    private final Thread leftovers = new Thread(this::killAll);

    /**
     * {@code flush}: the instances write captures into a folder below {@code folder}, each row so many milliseconds
     * late at most; 0 for no captures.
     */
    public Rig(Fleet fleet, Demand demand, long span, long seed, Path folder, int flush) throws IOException {
        this.fleet = fleet;
        this.demand = demand;
        this.span = span;
        this.folder = folder;
        chance = new SplittableRandom(seed);
        tally = new Tally(fleet, span);
        Files.createDirectories(folder.resolve("captures"));
        int n = fleet.relays();
        listed = new boolean[n];
        reported = new int[n];
        heardAt = new long[n];
        phase = new Boolean[n];
        allUp = new CountDownLatch(n);
        membership = new Membership(this::report);
        for (Fleet.Place place : fleet.places()) {
            seats.add(new Seat(fleet, folder, membership.port(), flush, seats.size(), place.zone(), place.kind(),
                    seed));
        }
        Chooser.Roster roster = Chooser.Roster.of(listed);
        for (Pool pool : fleet.pools) {
            for (int i = 0; i < pool.count(); i++) {
                stubs.add(new StubSide(pool, stubs.size(), new Chooser(pool, i, roster, reported, chance.split())));
            }
        }
    }

    private long now() {
        return (System.nanoTime() - origin) / 100_000;
    }

    private void at(long time, Runnable act) {
        loop.schedule(() -> guarded(act), Math.max(0, origin + time * 100_000 - System.nanoTime()),
                TimeUnit.NANOSECONDS);
    }

    private void soon(Runnable act) {
        if (!over) {
            loop.execute(() -> guarded(act));
        }
    }

    /** An executor swallows what its tasks throw: a rig that has failed must say so. */
    private void guarded(Runnable act) {
        try {
            act.run();
        } catch (RuntimeException e) {
            failed = e;
        }
    }

    /** Plays the whole span and ends all instances in their order. */
    public Played play() throws IOException, InterruptedException {
        start();
        go();
        long end = span + fleet.longestTimeout() + 1_000;
        // What has come to a machine is read before the end, however long that takes a swamped one.
        while (now() < end || unread > 0 && now() < end + LONGEST_READING) {
            Thread.sleep(20);
        }
        return end();
    }

    /** Starts all instances and waits until they are up. */
    public void start() throws IOException, InterruptedException {
        Runtime.getRuntime().addShutdownHook(leftovers);
        for (Seat seat : seats) {
            seat.start(false);
        }
        for (int tenths = 0; !allUp.await(100, TimeUnit.MILLISECONDS); tenths++) {
            boolean dead = seats.stream().anyMatch(seat -> !seat.up());
            if (dead || tenths > 10 * START_S) {
                throw new IOException((dead ? "an instance ended at its start" : "not all instances came up in "
                        + START_S + " s") + "; see the logs in " + folder);
            }
        }
        // They have just reported: let what they still do for the start pass.
        Thread.sleep(500);
    }

    /** From now on the load runs. */
    public void go() {
        origin = System.nanoTime();
        java.util.Arrays.fill(listed, true);
        began = true;
        for (Trouble trouble : fleet.troubles) {
            begin(trouble);
        }
        SplittableRandom draws = chance.split();
        soon(() -> nextFirst(0, draws));
        at(0, this::silence);
    }

    /** Of the load while it runs: what was asked for and what became of it. */
    public Tally tally() {
        return tally;
    }

    /** From the intended time of each first try to its completion, in tenths of a millisecond, since the last call. */
    public Histogram latency() {
        return latency.getIntervalHistogram();
    }

    public long elapsed() {
        return began ? now() : 0;
    }

    public Played end() throws IOException, InterruptedException {
        over = true;
        for (Seat seat : seats) {
            seat.end();
        }
        for (Seat seat : seats) {
            if (seat.process != null) {
                seat.process.waitFor(fleet.rules.stop() / 10 + 5_000, TimeUnit.MILLISECONDS);
            }
        }
        int doubles = 0;
        int changed = 0;
        for (Seat seat : seats) {
            doubles += seat.doubleRuns;
            changed += seat.changedBodies;
        }
        close();
        if (failed != null) {
            throw new IOException("the rig failed: " + failed, failed);
        }
        return new Played(tally, List.copyOf(arrived), folder.resolve("captures"),
                lateness.getTotalCount() == 0 ? 0 : lateness.getValueAtPercentile(99),
                lateness.getTotalCount() > 0 && lateness.getValueAtPercentile(99) > LATE, wrongResults, doubles,
                        changed);
    }

    // The load.

    private void nextFirst(long from, SplittableRandom draws) {
        double peak = demand.peak() * Math.max(1, mostBurst());
        double next = from;
        do {
            next -= Math.log(1 - draws.nextDouble()) / peak;
        } while (next < span && draws.nextDouble() * peak > demand.rate((long) next) * burstAt((long) next));
        long time = (long) Math.ceil(next);
        if (time < span && !over) {
            at(time, () -> {
                first(time, draws);
                nextFirst(time, draws);
            });
        }
    }

    private double mostBurst() {
        double most = 1;
        for (Trouble trouble : fleet.troubles) {
            most = trouble instanceof Trouble.Burst each ? Math.max(most, each.size()) : most;
        }
        return most;
    }

    private double burstAt(long time) {
        double size = 1;
        for (Trouble trouble : fleet.troubles) {
            if (trouble instanceof Trouble.Burst each && time >= each.from() && time < each.until()) {
                size = each.size();
            }
        }
        return size;
    }

    private void first(long time, SplittableRandom draws) {
        lateness.recordValue(Math.max(0, now() - time));
        int group = demand.group(draws);
        byte[] body = new byte[demand.bytes(group, draws)];
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) draws.nextInt();
        }
        Task task = new Task(group, demand.customer(draws), demand.subject(draws), Math.round(demand.kb(group, draws)
                * 1_000) / 1_000.0, body.length, time, time + fleet.groups.get(group).asyncTimeout(),
                demand.work(group, draws), body);
        tally.asks(task);
        stubs.get(draws.nextInt(stubs.size())).send(task, now());
    }

    private long delay(StubSide stub, Seat seat) {
        return stub.zone == seat.zone ? fleet.network.within() : fleet.network.across();
    }

    /** It has come to the machine, which reads it before the instance gets it. */
    private void arrive(Sent sent) {
        Seat seat = sent.seat;
        if (!seat.up() || sent.life != seat.life) {
            later(sent, Asking.Answer.UNREACHABLE, 0, false);
            return;
        }
        Task task = (Task) sent.asking;
        long stamp = System.currentTimeMillis();
        arrived.add(new Arrived(seat.number, sent.stub.number, stamp, task.bytes, (float) task.kb, task.tries == 1));
        sent.due = new Seat.Due(task.work, task.body,
                fleet.groups.get(task.group).effect() == Fleet.Effect.MUTATING);
        seat.due.put(sent.id, sent.due);
        reading.add(sent);
        unread = reading.size();
        seat.machine.work(seat.kind.reading(), () -> soon(() -> read(sent, stamp)));
    }

    private void read(Sent sent, long stamp) {
        boolean waited = reading.remove(sent);
        unread = reading.size();
        if (!waited || sent.life != sent.seat.life) {
            return;
        }
        Task task = (Task) sent.asking;
        try {
            Line line = line(sent.stub, sent.seat);
            int stream = ++line.streams;
            line.open.put(stream, sent);
            line.socket.getOutputStream().write(StubFrames.frame(StubFrames.EXCHANGE, stream,
                    StubFrames.payload(task.body,
                    "method", fleet.groups.get(task.group).name(), "rid", sent.id, "t0", Long.toString(stamp),
                    "peer", Integer.toString(sent.stub.number), "acct", fleet.customers.get(task.customer).name(),
                    "mem", String.format(Locale.ROOT, "%.3f", task.kb), "prio", "0.5",
                    "obj", String.format("%016x", task.subject))));
        } catch (IOException e) {
            later(sent, Asking.Answer.UNREACHABLE, 0, false);
        }
    }

    private Line line(StubSide stub, Seat seat) throws IOException {
        List<Line> lines = stub.lines.get(seat.number);
        for (Line line : lines) {
            if (!line.closing && line.open.size() < OPEN_PER_CONNECTION) {
                return line;
            }
        }
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), seat.port), 200);
        Line line = new Line(socket);
        lines.add(line);
        Peers.daemon("answers", () -> hear(stub, seat, line)).start();
        return line;
    }

    private void hear(StubSide stub, Seat seat, Line line) {
        try (DataInputStream in = new DataInputStream(new java.io.BufferedInputStream(line.socket.getInputStream()))) {
            for (StubFrames.Frame frame = StubFrames.read(in); frame != null; frame = StubFrames.read(in)) {
                StubFrames.Frame heard = frame;
                soon(() -> hears(line, heard));
            }
        } catch (IOException e) {
            // The end of it, as any other.
        }
        soon(() -> {
            stub.lines.get(seat.number).remove(line);
            line.closing = true;
            for (Sent sent : line.open.values()) {
                later(sent, Asking.Answer.RESET, 0, false);
            }
            line.open.clear();
        });
    }

    private void hears(Line line, StubFrames.Frame frame) {
        if (frame.type() == StubFrames.NOTHING_NEW) {
            line.closing = true;
        } else if (frame.type() == StubFrames.ANSWER) {
            Sent sent = line.open.remove(frame.stream());
            if (sent != null) {
                boolean completed = frame.code() == StubFrames.COMPLETED;
                if (completed && !java.util.Arrays.equals(frame.body(), Seat.result(sent.id))) {
                    wrongResults++;
                }
                later(sent, completed ? Asking.Answer.COMPLETED : frame.code() == StubFrames.DENIED
                        ? Asking.Answer.DENIED : Asking.Answer.TERMINATED,
                        10 * Long.parseLong(frame.fields().getOrDefault("backoff", "0")),
                        frame.fields().containsKey("final"));
            }
        }
        if (line.closing && line.open.isEmpty()) {
            try {
                line.socket.close();
            } catch (IOException e) {
                // It is given up either way.
            }
        }
    }

    /** On its way back to the stub. */
    private void later(Sent sent, Asking.Answer answer, long away, boolean giveUp) {
        at(now() + delay(sent.stub, sent.seat), () -> sent.stub.answered(sent, answer, away, giveUp));
    }

    // The roster.

    private void report(String name, Boolean up, String call) {
        int seat = up == null || !name.startsWith("r") ? -1 : Integer.parseInt(name.substring(1)) - 1;
        if (seat < 0 || seat >= listed.length) {
            return;
        }
        soon(() -> {
            heardAt[seat] = began ? now() : 0;
            if (up.equals(phase[seat])) {
                return;
            }
            if (phase[seat] == null) {
                allUp.countDown();
            }
            phase[seat] = up;
            int life = seats.get(seat).life;
            if (began) {
                at(now() + fleet.roster.lag(), () -> {
                    if (seats.get(seat).life == life) {
                        listed[seat] = up;
                    }
                });
            }
        });
    }

    /** Whoever has not been heard of for as long is taken off the list. */
    private void silence() {
        long now = now();
        for (int i = 0; i < listed.length; i++) {
            if (now - heardAt[i] > fleet.roster.silent()) {
                listed[i] = false;
                phase[i] = Boolean.FALSE;
            }
        }
        if (!over) {
            at(now + 500, this::silence);
        }
    }

    // What goes wrong.

    private void begin(Trouble trouble) {
        if (trouble instanceof Trouble.Slow each) {
            List<Seat> drawn = drawn(each.part());
            at(each.from(), () -> drawn.forEach(seat -> seat.machine.slow(each.size())));
            at(each.until(), () -> drawn.forEach(seat -> seat.machine.slow(1)));
        } else if (trouble instanceof Trouble.Crash each) {
            lose(drawn(each.part()), each.from(), each.until());
        } else if (trouble instanceof Trouble.Lose each) {
            lose(seats.stream().filter(seat -> each.zones().contains(fleet.zones.get(seat.zone).name())).toList(),
                    each.from(), each.until());
        } else if (trouble instanceof Trouble.Reset each) {
            SplittableRandom draws = chance.split();
            at(each.from(), () -> reset(each, draws));
        } else if (trouble instanceof Trouble.Roll each) {
            roll(each.from());
        }
    }

    /** One stub loses its connections to one relay, whose interpreter loses its link in the same moment. */
    private void reset(Trouble.Reset trouble, SplittableRandom draws) {
        if (now() >= trouble.until() || over) {
            return;
        }
        Seat seat = seats.get(draws.nextInt(seats.size()));
        try {
            for (Line line : stubs.get(draws.nextInt(stubs.size())).lines.get(seat.number)) {
                line.socket.setSoLinger(true, 0);
                line.socket.close();
            }
            seat.cutLink();
        } catch (IOException e) {
            failed = e;
        }
        at(now() + trouble.every(), () -> reset(trouble, draws));
    }

    private List<Seat> drawn(double part) {
        List<Seat> left = new ArrayList<>(seats);
        List<Seat> drawn = new ArrayList<>();
        SplittableRandom draws = chance.split();
        for (long n = Math.round(part * seats.size()); n > 0; n--) {
            drawn.add(left.remove(draws.nextInt(left.size())));
        }
        return drawn;
    }

    private void lose(List<Seat> lost, long from, long until) {
        at(from, () -> {
            lostFor.addAll(lost);
            lost.forEach(this::kill);
        });
        if (until < Long.MAX_VALUE) {
            // It is back when it is up, which takes it a while.
            at(until - fleet.deploy.start(), () -> {
                lost.forEach(lostFor::remove);
                lost.forEach(this::startAgain);
            });
        }
    }

    private void kill(Seat seat) {
        try {
            seat.kill();
        } catch (IOException e) {
            failed = e;
        }
        forgetReading(seat);
    }

    /** What the machine was still reading ends with it. */
    private void forgetReading(Seat seat) {
        for (Sent sent : List.copyOf(reading)) {
            if (sent.seat == seat) {
                reading.remove(sent);
                unread = reading.size();
                later(sent, Asking.Answer.RESET, 0, false);
            }
        }
    }

    private void startAgain(Seat seat) {
        try {
            if (!seat.up()) {
                phase[seat.number] = Boolean.FALSE;
                heardAt[seat.number] = now();
                seat.start(true);
            }
        } catch (IOException e) {
            failed = e;
        }
    }

    private void roll(long from) {
        long begins = from;
        for (List<Integer> batch : fleet.batches()) {
            at(begins, () -> batch.forEach(seat -> replace(seats.get(seat))));
            begins += fleet.batchEvery();
        }
    }

    private void replace(Seat seat) {
        Process leaving = seat.process;
        if (!seat.up()) {
            return;
        }
        int life = seat.life;
        seat.drain();
        leaving.onExit().thenRun(() -> soon(() -> {
            if (seat.life == life && !lostFor.contains(seat)) {
                forgetReading(seat);
                startAgain(seat);
            }
        }));
    }

    private void killAll() {
        for (Seat seat : seats) {
            Process process = seat.process;
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        over = true;
        try {
            Runtime.getRuntime().removeShutdownHook(leftovers);
        } catch (IllegalStateException e) {
            // The whole process is ending: the hook does its part.
        }
        loop.shutdownNow();
        for (StubSide stub : stubs) {
            for (List<Line> lines : stub.lines) {
                for (Line line : lines) {
                    line.socket.close();
                }
            }
        }
        for (Seat seat : seats) {
            seat.close();
        }
        membership.close();
    }
}
