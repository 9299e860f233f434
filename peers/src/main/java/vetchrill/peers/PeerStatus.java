package vetchrill.peers;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import vetchrill.members.Word;

/** Asks one instance what it holds, from outside of the fleet. */
public final class PeerStatus {
    private static final int PATIENCE_MS = 3_000;

    private PeerStatus() {
    }

    /** A word with all of it, whose number is how far the instance distrusts itself. */
    public static Word of(InetSocketAddress address) throws IOException {
        byte[] payload = ask(address, PeerFrames.ASK, new byte[0]);
        return Words.read(payload, 0, payload.length);
    }

    /** An order in JSON, and its answer. */
    public static byte[] order(InetSocketAddress address, byte[] order) throws IOException {
        return ask(address, PeerFrames.ORDER, order);
    }

    private static byte[] ask(InetSocketAddress address, int type, byte[] asked) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address, PATIENCE_MS);
            socket.setSoTimeout(PATIENCE_MS);
            socket.getOutputStream().write(PeerFrames.frame(type, asked));
            DataInputStream in = new DataInputStream(socket.getInputStream());
            int length = in.readInt();
            if (length < 5 || length > Words.LONGEST) {
                throw new IOException(address + " answers what is no word");
            }
            in.readNBytes(5);
            return in.readNBytes(length - 5);
        }
    }
}
