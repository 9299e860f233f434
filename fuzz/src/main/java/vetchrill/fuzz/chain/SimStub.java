package vetchrill.fuzz.chain;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import vetchrill.fuzz.Finding;
import vetchrill.standin.StubFrames;

/** One connection of a client stub in the simulated chain: what it sends, and what it makes of what it hears. */
final class SimStub implements SimPipe.Peer {
    private final ChainRun run;
    private final ChainRun.Way way;
    final SimPipe pipe = new SimPipe(this);
    final Map<Integer, Ledger.Ex> open = new HashMap<>();
    final Map<Integer, Integer> checks = new HashMap<>();
    private byte[] heard = new byte[0];
    private final List<Ledger.Ex> sent = new ArrayList<>();
    private int noted;
    private long sentBytes;
    private long lastHeard = Long.MIN_VALUE / 2;
    int streams;
    boolean rude;
    boolean gone;
    boolean halfShut;
    /** It was told that nothing new is taken. */
    boolean told;
    /** It stopped reading for so long that what it gets can be late. */
    boolean stalls;

    SimStub(ChainRun run) {
        this.run = run;
        way = run.new Way();
    }

    void send(byte[] bytes) {
        sentBytes += bytes.length;
        way.send(bytes, piece -> {
            pipe.arrive(piece);
            run.ready(pipe);
        });
    }

    void exchange(Ledger.Ex ex, byte[] frame) {
        ex.afterRude = rude;
        send(frame);
        ex.lastByte = sentBytes;
        sent.add(ex);
        open.put(ex.stream, ex);
        run.ledger.add(ex);
    }

    void halfShut() {
        halfShut = true;
        way.after(() -> {
            pipe.end();
            run.ready(pipe);
        });
    }

    void reset() {
        gone = true;
        run.ledger.all.stream().filter(ex -> ex.stub == this).forEach(ex -> ex.excused = true);
        pipe.reset();
        run.ready(pipe);
    }

    @Override
    public void written(byte[] bytes) {
        if (gone) {
            return;
        }
        lastHeard = run.now();
        heard = SimPipe.joined(heard, bytes);
        while (heard.length >= 4) {
            int length = (heard[0] & 0xff) << 24 | (heard[1] & 0xff) << 16 | (heard[2] & 0xff) << 8 | heard[3] & 0xff;
            if (length < 5 || length > 8_192) {
                throw new Finding("a frame that no stub can read is sent");
            }
            if (heard.length < 4 + length) {
                break;
            }
            byte[] one = Arrays.copyOf(heard, 4 + length);
            heard = Arrays.copyOfRange(heard, 4 + length, heard.length);
            try {
                hears(StubFrames.read(new DataInputStream(new ByteArrayInputStream(one))));
            } catch (IOException | IndexOutOfBoundsException e) {
                throw new Finding("a frame that no stub can read is sent", e);
            }
        }
    }

    private void hears(StubFrames.Frame frame) {
        switch (frame.type()) {
            case StubFrames.ANSWER -> {
                Ledger.Ex ex = open.get(frame.stream());
                if (ex != null) {
                    if (ex.answers == 0 || !rude) {
                        run.ledger.answered(ex, frame.code(), frame.body(), run.now());
                    }
                } else if (!rude) {
                    throw new Finding("an answer to nothing");
                } else if (frame.code() == StubFrames.COMPLETED) {
                    throw new Finding("what is no exchange is completed");
                }
            }
            case 32 -> {
                if (checks.merge(frame.stream(), -1, Integer::sum) < 0 && !rude) {
                    throw new Finding("a health check is answered twice");
                }
            }
            case StubFrames.NOTHING_NEW -> run.at(run.now() + run.delay(), () -> run.toldNothingNew(this));
            default -> throw new Finding("a frame of a type that no stub knows");
        }
    }

    /** A stub closes what was closed by the other side; a rude one holds on to it for good. */
    @Override
    public void ended() {
        if (!gone) {
            gone = true;
            run.ledger.closed(this, run.now());
            if (!rude) {
                halfShut();
            }
        }
    }

    @Override
    public void closed(boolean unread) {
        if (unread && !stalls && run.now() - lastHeard < Ledger.ON_ITS_WAY) {
            throw new Finding("answers that were just written go with a reset");
        }
        if (!gone) {
            gone = true;
            run.ledger.closed(this, run.now());
        }
    }

    /** What the chain has read by now. */
    void note(long now) {
        while (noted < sent.size() && pipe.consumed >= sent.get(noted).lastByte) {
            sent.get(noted++).consumed = now;
        }
    }
}
