package vetchrill.peers;

import java.io.IOException;
import vetchrill.members.MembershipMessage;
import vetchrill.transport.Connection;

/** The frames of the stubs' protocol, with types of their own, as instances speak them among each other. */
final class PeerProtocol implements Connection.InputHandler {
    /** A word, as {@link MembershipMessageCodec} writes it. */
    static final int MEMBERSHIP_MESSAGE = 128;
    /** From a tool: what do you hold? Answered by a WORD with all of it. */
    static final int STATUS_REQUEST = 129;
    /** What instances say of versions, as {@link VersionMessageCodec} writes it. */
    static final int VERSION_MESSAGE = 130;
    /** From a tool: an order in JSON, answered by ORDERED. */
    static final int ORDER = 131;
    static final int ORDER_REPLY = 132;
    private static final int HEADER_BYTES = 9;
    private static final System.Logger LOG = System.getLogger("vetchrill.peers");

    interface Handler {
        void membershipMessage(MembershipMessage message);

        void statusRequest();

        void versionMessage(VersionMessageCodec.Envelope envelope) throws IOException;

        void order(byte[] order) throws IOException;

        void closed();
    }

    private final Handler handler;

    PeerProtocol(Handler handler) {
        this.handler = handler;
    }

    static byte[] encodeFrame(int type, byte[] payload) {
        byte[] frame = new byte[HEADER_BYTES + payload.length];
        int length = frame.length - 4;
        for (int i = 0; i < 4; i++) {
            frame[i] = (byte) (length >> 24 - 8 * i);
        }
        frame[4] = (byte) type;
        System.arraycopy(payload, 0, frame, HEADER_BYTES, payload.length);
        return frame;
    }

    @Override
    public int consume(byte[] buf, int from, int to) {
        if (to - from < HEADER_BYTES) {
            return 0;
        }
        int length = (buf[from] & 0xff) << 24 | (buf[from + 1] & 0xff) << 16 | (buf[from + 2] & 0xff) << 8
                | buf[from + 3] & 0xff;
        if (length < HEADER_BYTES - 4 || length > MembershipMessageCodec.MAX_MESSAGE_BYTES) {
            LOG.log(System.Logger.Level.WARNING, "a peer sends a frame of length {0}: closed", length);
            return -1;
        }
        if (to - from < 4 + length) {
            return 0;
        }
        int type = buf[from + 4] & 0xff;
        try {
            if (type == MEMBERSHIP_MESSAGE) {
                handler.membershipMessage(MembershipMessageCodec.decode(buf, from + HEADER_BYTES,
                        length + 4 - HEADER_BYTES));
            } else if (type == STATUS_REQUEST) {
                handler.statusRequest();
            } else if (type == VERSION_MESSAGE) {
                handler.versionMessage(VersionMessageCodec.decode(buf, from + HEADER_BYTES, length + 4 - HEADER_BYTES));
            } else if (type == ORDER) {
                handler.order(java.util.Arrays.copyOfRange(buf, from + HEADER_BYTES, from + 4 + length));
            } else {
                throw new IOException("a frame of type " + type);
            }
        } catch (IOException e) {
            LOG.log(System.Logger.Level.WARNING, "a peer sends what is no word: {0}",
                    String.valueOf(e.getMessage()).split("\n")[0]);
            return -1;
        }
        return 4 + length;
    }

    @Override
    public void inputEnded(String why, boolean gone) {
        handler.closed();
    }
}
