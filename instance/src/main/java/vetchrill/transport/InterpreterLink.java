package vetchrill.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

/** Keeps one connection to an address: again at once when it is lost, then with growing pauses. */
public final class InterpreterLink {
    private static final System.Logger LOG = System.getLogger("vetchrill.link");

    private final Limits limits;
    private final Workers readers;
    private final Workers writers;
    private final Function<Connection, Connection.Input> opened;
    private volatile InetSocketAddress address;
    /** Counted down when the connection of now is lost or no longer the one to keep. */
    private volatile CountDownLatch over = new CountDownLatch(0);

    /** {@code opened} is called with each new connection before anything is read from it. */
    public InterpreterLink(InetSocketAddress address, Limits limits, Workers readers, Workers writers,
            Function<Connection, Connection.Input> opened) {
        this.address = address;
        this.limits = limits;
        this.readers = readers;
        this.writers = writers;
        this.opened = opened;
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
        long pause = 0;
        long wait = limits.firstConnect;
        boolean told = false;
        while (true) {
            try {
                if (pause > 0) {
                    Thread.sleep(pause / 10);
                }
                // A connection that was up for no time at all counts as a failed try.
                pause = Math.min(limits.longestPause, Math.max(limits.firstPause, 2 * pause));
                Socket socket = new Socket();
                InetSocketAddress to = address;
                CountDownLatch lost = new CountDownLatch(1);
                over = lost;
                try {
                    // A peer whose backlog is full for a moment hears of the same try again only after a second.
                    socket.connect(to, (int) (wait / 10));
                    wait = limits.firstConnect;
                } catch (IOException e) {
                    socket.close();
                    wait = Math.min(limits.connectWait, 2 * wait);
                    throw e;
                }
                Connection connection = new Connection(socket, limits, readers, writers, new AtomicLong(), () -> { });
                long since = System.nanoTime();
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
                if (to == address) {
                    lost.await();
                }
                if (to != address || (System.nanoTime() - since) / 100_000 > limits.longestPause) {
                    pause = 0;
                }
            } catch (IOException e) {
                if (!told) {
                    LOG.log(System.Logger.Level.WARNING, "no link to the interpreter yet: {0}", e.getMessage());
                }
                told = true;
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
