package vetchrill.peers;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import vetchrill.members.Members;
import vetchrill.members.News;
import vetchrill.members.News.State;
import vetchrill.members.Pace;
import vetchrill.members.Word;
import vetchrill.transport.Connection;
import vetchrill.transport.InterpreterLink;
import vetchrill.transport.Limits;
import vetchrill.transport.Listener;
import vetchrill.transport.Pipe;
import vetchrill.transport.Workers;
import vetchrill.transport.Resources;

/**
 * Owns {@link Members} in a process: one thread, which takes what comes from one queue and never waits for a peer.
 * Words go out on a connection that is opened when the first is due; what waits for one that is not there is bounded
 * and dropped, as a word that is late is worth no more than one that is lost.
 */
public final class Peering {
    private static final System.Logger LOG = System.getLogger("vetchrill.peers");
    private static final int WAITING = 32;
    private static final int INPUTS = 4_096;

    private final Limits limits;
    private final Pace pace;
    private final Members members;
    private final LongSupplier clock;
    private final Runnable replaced;
    /** Null where no versions are agreed on. */
    private final Agreement agreement;
    private final Listener listener;
    private final Workers readers;
    private final Workers writers;
    private final AtomicLong unsent = new AtomicLong();
    private final ArrayBlockingQueue<Runnable> inputs = new ArrayBlockingQueue<>(INPUTS);
    private final Map<String, Out> outs = new TreeMap<>();
    /** By the process that spoke on it last: where its answers go. */
    private final Map<Long, Connection> heardOn = new HashMap<>();

    /**
     * {@code others} by their names; {@code replaced} is called once, when another process has this one's name. Times
     * of {@code clock} are tenths of a millisecond that never step. Throws IOException where the address can't be had.
     */
    public Peering(Pace pace, String name, String zone, InetSocketAddress listen,
            Map<String, InetSocketAddress> others, long nonce, long seed, Limits limits, LongSupplier clock,
            Runnable replaced, Agreement agreement) throws IOException {
        this.agreement = agreement;
        if (agreement != null) {
            agreement.begin(this::postSurely, this::say, limits.threadStack);
        }
        this.limits = limits;
        this.pace = pace;
        this.clock = clock;
        this.replaced = replaced;
        members = new Members(pace, name, zone, 1, nonce, others.keySet(), seed, clock.getAsLong());
        readers = new Workers("peer-reader", 1, limits);
        writers = new Workers("peer-writer", 1, limits);
        others.forEach((other, address) -> outs.put(other, new Out(other, address)));
        listener = new Listener(listen, limits, this::accepted);
    }

    private void say(String to, byte[] saying) {
        if (outs.containsKey(to)) {
            outs.get(to).toSend.offer(PeerFrames.frame(PeerFrames.SAYING, saying));
        }
    }

    public void start() {
        if (agreement != null) {
            agreement.start();
        }
        listener.start();
        outs.values().forEach(out -> Resources.daemon("to-" + out.name, out::keep, limits.threadStack).start());
        Resources.daemon("peers", this::run, limits.threadStack * 2L).start();
    }

    /** Says to the others that this instance goes, on any thread. */
    public void leave() {
        post(members::leave);
    }

    private void post(Runnable input) {
        // A full queue means that this process stands still: what comes meanwhile is lost like on the way.
        inputs.offer(input);
    }

    private void postSurely(Runnable input) {
        try {
            inputs.put(input);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        try {
            while (true) {
                long at = agreement == null ? members.wakeAt() : Math.min(members.wakeAt(), agreement.wakeAt());
                long wait = at - clock.getAsLong();
                Runnable input = wait > 0 ? inputs.poll(wait * 100, TimeUnit.MICROSECONDS) : inputs.poll();
                members.time(clock.getAsLong());
                for (int i = 0; input != null; i++) {
                    input.run();
                    input = i < INPUTS ? inputs.poll() : null;
                }
                while (members.next(host)) {
                    continue;
                }
                if (agreement != null) {
                    agreement.pump();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private final Members.Host host = new Members.Host() {
        @Override
        public void send(String to, long nonce, Word word) {
            byte[] frame = PeerFrames.frame(PeerFrames.WORD, Words.write(word));
            Connection back = nonce == 0 ? null : heardOn.get(nonce);
            if (back != null) {
                back.send(frame);
            } else if (outs.containsKey(to)) {
                outs.get(to).toSend.offer(frame);
            }
        }

        @Override
        public void changed(News now, State was) {
            LOG.log(now.state() == State.ALIVE ? System.Logger.Level.INFO : System.Logger.Level.WARNING,
                    "peer {0} is {1}, was {2}: life {3}, turn {4}, by {5}; {6} live", now.name(), now.state(), was,
                    now.life(), now.turn(), now.by(), members.living());
        }

        @Override
        public void replaced(News by) {
            LOG.log(System.Logger.Level.ERROR, "another process has the name {0}, in life {1}: this one goes",
                    by.name(), by.life());
            replaced.run();
        }
    };

    /** {@code made} is told of it before anything is read, as it may end at once; {@code ended} is told of that. */
    private void open(Pipe pipe, Consumer<Connection> made, Consumer<Connection> ended) {
        Connection connection = new Connection(pipe, limits, readers, writers, unsent, () -> { });
        made.accept(connection);
        connection.start(new PeerFrames(new PeerFrames.Taker() {
            @Override
            public void word(Word word) {
                post(() -> {
                    heardOn.put(word.from().nonce(), connection);
                    members.heard(word);
                });
            }

            @Override
            public void asked() {
                post(() -> {
                    List<News> all = new ArrayList<>(members.others());
                    connection.send(PeerFrames.frame(PeerFrames.WORD,
                            Words.write(new Word(Word.Kind.SAME, members.self(), members.sick(), "", all))));
                });
            }

            @Override
            public void said(Sayings.Envelope envelope) throws IOException {
                if (agreement == null) {
                    throw new IOException("a saying on versions, which are not agreed on here");
                }
                post(() -> agreement.heard(envelope));
            }

            @Override
            public void ordered(byte[] order) throws IOException {
                if (agreement == null) {
                    throw new IOException("an order on versions, which are not agreed on here");
                }
                post(() -> connection.send(PeerFrames.frame(PeerFrames.ORDERED, agreement.ordered(order))));
            }

            @Override
            public void ended() {
                connection.abort();
                post(() -> heardOn.values().removeIf(each -> each == connection));
                ended.accept(connection);
            }
        }), Words.LONGEST);
    }

    private void accepted(Pipe pipe) {
        open(pipe, made -> { }, ended -> { });
    }

    /** The way to one peer. */
    private final class Out {
        final String name;
        final InetSocketAddress address;
        final LinkedBlockingQueue<byte[]> toSend = new LinkedBlockingQueue<>(WAITING);
        /** Null while there is none. */
        private final AtomicReference<Connection> connection = new AtomicReference<>();

        Out(String name, InetSocketAddress address) {
            this.name = name;
            this.address = address;
        }

        private void keep() {
            try {
                while (true) {
                    byte[] frame = toSend.take();
                    Connection now = connection.get();
                    if (now == null) {
                        now = dial();
                    }
                    if (now != null) {
                        now.send(frame);
                    }
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private Connection dial() {
            try {
                Pipe pipe = InterpreterLink.Dial.onSocket(address, Math.max(limits.firstConnect, pace.period()));
                open(pipe, made -> connection.set(made), ended -> connection.compareAndSet(ended, null));
                return connection.get();
            } catch (IOException e) {
                // What waited for it would be late.
                toSend.clear();
                return null;
            }
        }
    }
}
