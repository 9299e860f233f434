package vetchrill.peers;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import vetchrill.members.MembershipMessage;

/** Asks one instance what it holds, from outside of the fleet. */
public final class PeerClient {
    private static final int TIMEOUT_MS = 3_000;

    private PeerClient() {
    }

    /** A word with all of it, whose number is how far the instance distrusts itself. */
    public static MembershipMessage queryMembership(InetSocketAddress address) throws IOException {
        byte[] payload = exchange(address, PeerProtocol.STATUS_REQUEST, new byte[0]);
        return MembershipMessageCodec.decode(payload, 0, payload.length);
    }

    /** An order in JSON, and its answer. */
    public static byte[] sendOrder(InetSocketAddress address, byte[] order) throws IOException {
        return exchange(address, PeerProtocol.ORDER, order);
    }

    private static byte[] exchange(InetSocketAddress address, int type, byte[] payload) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address, TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write(PeerProtocol.encodeFrame(type, payload));
            DataInputStream in = new DataInputStream(socket.getInputStream());
            int length = in.readInt();
            if (length < 5 || length > MembershipMessageCodec.MAX_MESSAGE_BYTES) {
                throw new IOException(address + " answers what is no word");
            }
            in.readNBytes(5);
            return in.readNBytes(length - 5);
        }
    }
}
