package vetchrill.peers;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import vetchrill.members.MembershipMessage;

/** Queries one instance, or sends it an order, from a tool that is not part of the fleet. */
public final class PeerClient {
    private static final int TIMEOUT_MS = 3_000;

    private PeerClient() {
    }

    /**
     * Returns a message with the state of all members as this instance knows them, whose sequence number is its local
     * health score.
     */
    public static MembershipMessage queryMembership(InetSocketAddress address) throws IOException {
        byte[] payload = exchange(address, PeerProtocol.STATUS_REQUEST, new byte[0]);
        return MembershipMessageCodec.decode(payload, 0, payload.length);
    }

    /** Sends an order in JSON and returns the reply, in JSON too; see {@link VersionService}. */
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
            if (length < PeerProtocol.MIN_LENGTH_BYTES || length > MembershipMessageCodec.MAX_MESSAGE_BYTES) {
                throw new IOException(address + " sent an invalid reply");
            }
            in.readNBytes(PeerProtocol.MIN_LENGTH_BYTES);
            return in.readNBytes(length - PeerProtocol.MIN_LENGTH_BYTES);
        }
    }
}
