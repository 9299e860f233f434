package vetchrill.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

/**
 * Keeps one connection to an address: again at once when it is lost, then with growing pauses. A thread of its own
 * does the waiting; what is tried when, and what comes of it, is in methods that wait for nothing but the try itself.
 */
public final class InterpreterLink {
    /** How an address is reached. */
    public interface Dial {
        /** Tries for {@code wait} at most, in tenths of a millisecond. */
        Pipe to(InetSocketAddress address, long wait) throws IOException;

        /** As it is on this machine's network. */
        static Pipe onSocket(InetSocketAddress address, long wait) throws IOException {
            Socket socket = new Socket();
            try {
                // A peer whose backlog is full for a moment hears of the same try again only after a second.
                socket.connect(address, (int) (wait / 10));
                return Pipe.of(socket);
            } catch (IOException e) {
                socket.close();
                throw e;
            }
        }
    }

    private static final System.Logger LOG = System.getLogger("vetchrill.link");

    private final Limits limits;
    private final Dial dial;
    private final Job.Runner readers;
    private final Job.Runner writers;
    private final Function<Connection, Connection.Input> opened;
    private volatile InetSocketAddress address;
    /** Counted down when the connection of now is lost or no longer the one to keep. */
    private volatile CountDownLatch over = new CountDownLatch(0);
    private InetSocketAddress openTo;
    private long pause;
    private long wait;
    private boolean told;

    /** {@code opened} is called with each new connection before anything is read from it. */
    public InterpreterLink(InetSocketAddress address, Limits limits, Dial dial, Job.Runner readers, Job.Runner writers,
            Function<Connection, Connection.Input> opened) {
        this.address = address;
        this.limits = limits;
        this.dial = dial;
        this.readers = readers;
        this.writers = writers;
        this.opened = opened;
        wait = limits.firstConnect;
    }

    public void start() {
        Resources.daemon("link", this::keep, limits.threadStack).start();
    }

    /**
     * From now on the link is kept to another address. What there is to the old one is used until the new one is
     * open, and whoever took it closes it then: so no moment passes without a link.
     */
    public void move(InetSocketAddress to) {
        address = to;
        over.countDown();
    }

    private void keep() {
        while (true) {
            try {
                long pausing = pauseBefore();
                if (pausing > 0) {
                    Thread.sleep(pausing / 10);
                }
                if (attempt()) {
                    long since = System.nanoTime();
                    over.await();
                    ended((System.nanoTime() - since) / 100_000);
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** How long to wait before the next try; a connection that was up for no time at all counts as a failed one. */
    public long pauseBefore() {
        long pausing = pause;
        pause = Math.min(limits.longestPause, Math.max(limits.firstPause, 2 * pause));
        return pausing;
    }

    /** One try; whether a connection was opened, which is to be kept until {@link #isOver}. */
    public boolean attempt() {
        InetSocketAddress to = address;
        CountDownLatch lost = new CountDownLatch(1);
        over = lost;
        openTo = to;
        try {
            Connection connection = new Connection(dial.to(to, wait), limits, readers, writers, new AtomicLong(),
                    () -> { });
            wait = limits.firstConnect;
            Connection.Input input = opened.apply(connection);
            connection.start(new Connection.Input() {
                @Override
                public int take(byte[] buf, int from, int to) {
                    return input.take(buf, from, to);
                }

                @Override
                public void ended(String why, boolean gone) {
                    connection.abort();
                    input.ended(why, gone);
                    lost.countDown();
                }
            }, limits.line);
            told = false;
            if (to != address) {
                lost.countDown();
            }
            return true;
        } catch (IOException e) {
            wait = Math.min(limits.connectWait, 2 * wait);
            if (!told) {
                LOG.log(System.Logger.Level.WARNING, "no link to the interpreter yet: {0}", e.getMessage());
            }
            told = true;
            return false;
        }
    }

    /** Whether the connection of now is lost or no longer the one to keep. */
    public boolean isOver() {
        return over.getCount() == 0;
    }

    /** The connection of now is over after so long; the next try is made at once if it was worth something. */
    public void ended(long upFor) {
        if (openTo != address || upFor > limits.longestPause) {
            pause = 0;
        }
    }
}
