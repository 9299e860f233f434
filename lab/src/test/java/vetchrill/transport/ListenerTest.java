package vetchrill.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static vetchrill.InstanceRig.awaitNext;

import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.testng.annotations.Test;
import vetchrill.standin.Ports;

@Test
public class ListenerTest {
    /**
     * The listener is closed while it handles the first connection and the others wait in the backlog, each with a
     * request. Closing the socket at once would reset them.
     */
    public void acceptsBacklogBeforeClosing() throws Exception {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), Ports.findFree());
        LinkedBlockingQueue<DuplexChannel> accepted = new LinkedBlockingQueue<>();
        CountDownLatch allowAccept = new CountDownLatch(1);
        Listener listener = new Listener(address, new Limits(64 << 20, 64), channel -> {
            accepted.add(channel);
            try {
                allowAccept.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        listener.start();
        List<Socket> peers = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            Socket peer = new Socket(address.getAddress(), address.getPort());
            peer.getOutputStream().write(i);
            peers.add(peer);
        }
        DuplexChannel first = awaitNext(accepted, "the first connection");
        // close() blocks until the first connection is handled.
        Thread closing = new Thread(listener::close);
        closing.start();
        while (closing.getState() != Thread.State.TIMED_WAITING) {
            Thread.onSpinWait();
        }
        allowAccept.countDown();
        byte[] buf = new byte[1];
        first.read(buf, 0, 1);
        for (int i = 1; i < 20; i++) {
            DuplexChannel channel = awaitNext(accepted, "connection " + i);
            channel.read(buf, 0, 1);
            assertEquals(buf[0], i);
            channel.write(buf, 0, 1);
            assertEquals(peers.get(i).getInputStream().read(), i,
                    "a connection from the backlog is answered like any other");
        }
        assertThrows(ConnectException.class, () -> {
            while (true) {
                new Socket(address.getAddress(), address.getPort()).close();
            }
        });
        for (Socket peer : peers) {
            peer.close();
        }
    }
}
