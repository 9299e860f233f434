package vetchrill.peers;

import java.io.IOException;
import vetchrill.members.Word;
import vetchrill.transport.Connection;

/** The frames of the stubs' protocol, with types of their own, as instances speak them among each other. */
final class PeerFrames implements Connection.Input {
    /** A word, as {@link Words} writes it. */
    static final int WORD = 128;
    /** From a tool: what do you hold? Answered by a WORD with all of it. */
    static final int ASK = 129;
    /** What instances say of versions, as {@link Sayings} writes it. */
    static final int SAYING = 130;
    /** From a tool: an order in JSON, answered by ORDERED. */
    static final int ORDER = 131;
    static final int ORDERED = 132;
    private static final int HEAD = 9;
    private static final System.Logger LOG = System.getLogger("vetchrill.peers");

    interface Taker {
        void word(Word word);

        void asked();

        void said(Sayings.Envelope envelope) throws IOException;

        void ordered(byte[] order) throws IOException;

        void ended();
    }

    private final Taker taker;

    PeerFrames(Taker taker) {
        this.taker = taker;
    }

    static byte[] frame(int type, byte[] payload) {
        byte[] frame = new byte[HEAD + payload.length];
        int length = frame.length - 4;
        for (int i = 0; i < 4; i++) {
            frame[i] = (byte) (length >> 24 - 8 * i);
        }
        frame[4] = (byte) type;
        System.arraycopy(payload, 0, frame, HEAD, payload.length);
        return frame;
    }

    @Override
    public int take(byte[] buf, int from, int to) {
        if (to - from < HEAD) {
            return 0;
        }
        int length = (buf[from] & 0xff) << 24 | (buf[from + 1] & 0xff) << 16 | (buf[from + 2] & 0xff) << 8
                | buf[from + 3] & 0xff;
        if (length < HEAD - 4 || length > Words.LONGEST) {
            LOG.log(System.Logger.Level.WARNING, "a peer sends a frame of length {0}: closed", length);
            return -1;
        }
        if (to - from < 4 + length) {
            return 0;
        }
        int type = buf[from + 4] & 0xff;
        try {
            if (type == WORD) {
                taker.word(Words.read(buf, from + HEAD, length + 4 - HEAD));
            } else if (type == ASK) {
                taker.asked();
            } else if (type == SAYING) {
                taker.said(Sayings.read(buf, from + HEAD, length + 4 - HEAD));
            } else if (type == ORDER) {
                taker.ordered(java.util.Arrays.copyOfRange(buf, from + HEAD, from + 4 + length));
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
    public void ended(String why, boolean gone) {
        taker.ended();
    }
}
