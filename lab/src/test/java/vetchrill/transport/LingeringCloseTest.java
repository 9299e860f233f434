package vetchrill.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static vetchrill.InstanceRig.awaitNext;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Messages and closes that cross in flight, on real sockets. Each test fixes the order of events by waiting for what
 * was read or written before.
 */
@Test
public class LingeringCloseTest {
    private static final Limits LIMITS = new Limits(64 << 20, 64);
    private static final WorkerPool READERS = new WorkerPool("r", 1, LIMITS);
    private static final WorkerPool WRITERS = new WorkerPool("w", 1, LIMITS);

    private final AtomicLong totalUnsentBytes = new AtomicLong();
    private final LinkedBlockingQueue<String> received = new LinkedBlockingQueue<>();
    private CountDownLatch closed;
    private Socket peer;
    private Connection connection;

    /** The peer's receive window is small, so that data stays in the kernel's send buffer until the peer reads. */
    @BeforeMethod
    public void connect() throws IOException {
        closed = new CountDownLatch(1);
        received.clear();
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            peer = new Socket();
            peer.setReceiveBufferSize(2 << 10);
            peer.setSoTimeout(30_000);
            peer.connect(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()));
            connection = new Connection(DuplexChannel.of(server.accept()), LIMITS, READERS, WRITERS, totalUnsentBytes,
                    closed::countDown);
        }
    }

    @AfterMethod
    public void disconnect() throws Exception {
        peer.close();
        connection.close();
        assertTrue(closed.await(30, TimeUnit.SECONDS), "the connection closes once its peer is closed");
        assertEquals(totalUnsentBytes.get(), 0, "unsent bytes of a closed connection");
    }

    /** Consumes complete lines; stops reading at an incomplete one that begins with '!'. */
    private void start() {
        connection.start(new Connection.InputHandler() {
            @Override
            public int consume(byte[] buf, int from, int to) {
                for (int position = from; position < to; position++) {
                    if (buf[position] == '\n') {
                        received.add(new String(buf, from, position - from));
                        return position + 1 - from;
                    }
                }
                return buf[from] == '!' ? -1 : 0;
            }

            @Override
            public void inputEnded(String reason, boolean disconnected) {
                received.add(reason);
            }
        }, LIMITS.maxBufferedFrameBytes);
    }

    private static void awaitCondition(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + 30_000_000_000L;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadlineNanos, "condition not met in time");
            Thread.onSpinWait();
        }
    }

    private void send(String text) throws IOException {
        peer.getOutputStream().write(text.getBytes());
    }

    public void deliversQueuedBytesWhenPeerInputIsUnread() throws Exception {
        start();
        send("!");
        assertEquals(awaitNext(received, "the end of reading"), "malformed input");
        send("never read".repeat(1000));
        connection.send(new byte[150 << 10]);
        connection.close();
        assertEquals(peer.getInputStream().readAllBytes().length, 150 << 10);
    }

    public void discardsInputReceivedAfterHalfClose() throws Exception {
        start();
        send("first\nhal");
        assertEquals(awaitNext(received, "a message"), "first");
        connection.send(new byte[150 << 10]);
        connection.close();
        awaitCondition(connection::isHalfClosed);
        send("f\nwhole\n");
        assertEquals(peer.getInputStream().readAllBytes().length, 150 << 10);
        peer.shutdownOutput();
        assertEquals(awaitNext(received, "the end"), "closed by the peer",
                "no message is handled after the half-close");
    }

    public void ignoresMessagesSentAfterClose() throws Exception {
        start();
        connection.send("queued".getBytes());
        connection.close();
        connection.send("too late".getBytes());
        connection.close();
        assertEquals(new String(peer.getInputStream().readAllBytes()), "queued");
    }

    public void abortsPeerThatExceedsLingerByteLimit() {
        start();
        connection.close();
        assertThrows(IOException.class, () -> {
            for (int i = 0; i < 1000; i++) {
                peer.getOutputStream().write(new byte[64 << 10]);
            }
        });
    }

    public void closesAtOnceWhenPeerInputHasEnded() throws Exception {
        start();
        peer.shutdownOutput();
        assertEquals(awaitNext(received, "the end"), "closed by the peer");
        connection.send("queued".getBytes());
        connection.close();
        assertTrue(closed.await(30, TimeUnit.SECONDS));
        assertEquals(new String(peer.getInputStream().readAllBytes()), "queued");
    }

    public void reportsPartialMessageUntilComplete() throws Exception {
        start();
        send("whole\nhal");
        assertEquals(awaitNext(received, "a message"), "whole");
        awaitCondition(connection::isReceiving);
        send("f\n");
        assertEquals(awaitNext(received, "the other"), "half");
        awaitCondition(() -> !connection.isReceiving());
    }
}
