package vetchrill.peers;

import java.io.IOException;
import java.util.Arrays;
import vetchrill.members.MembershipMessage;
import vetchrill.transport.Connection;

/**
 * The protocol between instances: frames like those of the client stubs' protocol, with types of their own. A frame is
 * its length (4 bytes, which are not included in it), its type (1 byte), 4 unused bytes and the payload.
 */
final class PeerProtocol implements Connection.InputHandler {
    /** A message of {@link MembershipMessageCodec}. */
    static final int MEMBERSHIP_MESSAGE = 128;
    /** From a tool: a query of the membership, answered by a MEMBERSHIP_MESSAGE with the state of all members. */
    static final int STATUS_REQUEST = 129;
    /** A message of {@link VersionMessageCodec}. */
    static final int VERSION_MESSAGE = 130;
    /** From a tool: an order in JSON, answered by an ORDER_REPLY. */
    static final int ORDER = 131;
    static final int ORDER_REPLY = 132;
    private static final int LENGTH_FIELD_BYTES = 4;
    private static final int HEADER_BYTES = 9;
    /** The header without the length field, which is the smallest valid length. */
    static final int MIN_LENGTH_BYTES = HEADER_BYTES - LENGTH_FIELD_BYTES;
    private static final System.Logger LOG = System.getLogger("vetchrill.peers");

    /** Receives the frames of a connection, on the thread that reads it. An IOException closes the connection. */
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
        int length = frame.length - LENGTH_FIELD_BYTES;
        for (int i = 0; i < LENGTH_FIELD_BYTES; i++) {
            frame[i] = (byte) (length >> 24 - 8 * i);
        }
        frame[LENGTH_FIELD_BYTES] = (byte) type;
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
        if (length < MIN_LENGTH_BYTES || length > MembershipMessageCodec.MAX_MESSAGE_BYTES) {
            LOG.log(System.Logger.Level.WARNING, "closing a peer connection: invalid frame length {0}", length);
            return -1;
        }
        if (to - from < LENGTH_FIELD_BYTES + length) {
            return 0;
        }
        int type = buf[from + LENGTH_FIELD_BYTES] & 0xff;
        try {
            if (type == MEMBERSHIP_MESSAGE) {
                handler.membershipMessage(MembershipMessageCodec.decode(buf, from + HEADER_BYTES,
                        length + LENGTH_FIELD_BYTES - HEADER_BYTES));
            } else if (type == STATUS_REQUEST) {
                handler.statusRequest();
            } else if (type == VERSION_MESSAGE) {
                handler.versionMessage(VersionMessageCodec.decode(buf, from + HEADER_BYTES,
                        length + LENGTH_FIELD_BYTES - HEADER_BYTES));
            } else if (type == ORDER) {
                handler.order(Arrays.copyOfRange(buf, from + HEADER_BYTES,
                        from + LENGTH_FIELD_BYTES + length));
            } else {
                throw new IOException("unknown frame type " + type);
            }
        } catch (IOException e) {
            LOG.log(System.Logger.Level.WARNING, "closing a peer connection: invalid message: {0}",
                    String.valueOf(e.getMessage()).split("\n")[0]);
            return -1;
        }
        return LENGTH_FIELD_BYTES + length;
    }

    @Override
    public void inputEnded(String reason, boolean disconnected) {
        handler.closed();
    }
}
