package vetchrill.fuzz.chain;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import vetchrill.fuzz.InvariantViolation;
import vetchrill.standin.StubFrames;

/** One connection of a client stub in the simulation: sends frames, and checks the frames that it gets. */
final class SimStub implements SimChannel.Peer {
    private static final int HEALTH_CHECK_ANSWER = 32;

    private final ChainSimulation simulation;
    private final ChainSimulation.DelayedStream toChain;
    final SimChannel channel = new SimChannel(this);
    final Map<Integer, ExchangeOracle.TrackedExchange> exchangesByStream = new HashMap<>();
    final Map<Integer, Integer> openHealthChecks = new HashMap<>();
    private byte[] received = new byte[0];
    private final List<ExchangeOracle.TrackedExchange> sentExchanges = new ArrayList<>();
    private int consumedCount;
    private long sentBytes;
    private long lastReceivedAt = Long.MIN_VALUE / 2;
    /** Number of the last stream that the stub has opened. */
    int lastStream;
    /** Whether it has violated the protocol, after which most checks of its input no longer apply. */
    boolean sentInvalid;
    /** Whether the connection is reset, or the instance has closed its side. */
    boolean disconnected;
    /** Whether the stub has shut down its output. */
    boolean halfClosed;
    /** Whether it has got a go-away frame: the instance accepts no new exchanges on this connection. */
    boolean goAwayReceived;
    /** Whether it once did not read for so long that answers can be late. */
    boolean stalled;

    SimStub(ChainSimulation simulation) {
        this.simulation = simulation;
        toChain = simulation.new DelayedStream();
    }

    void send(byte[] bytes) {
        sentBytes += bytes.length;
        toChain.send(bytes, piece -> {
            channel.receive(piece);
            simulation.scheduleRead(channel);
        });
    }

    void sendExchange(ExchangeOracle.TrackedExchange ex, byte[] frame) {
        ex.afterInvalidFrame = sentInvalid;
        send(frame);
        ex.endOffset = sentBytes;
        sentExchanges.add(ex);
        exchangesByStream.put(ex.stream, ex);
        simulation.oracle.add(ex);
    }

    void halfClose() {
        halfClosed = true;
        toChain.runAfterPending(() -> {
            channel.endInput();
            simulation.scheduleRead(channel);
        });
    }

    void reset() {
        disconnected = true;
        simulation.oracle.exchanges.stream().filter(ex -> ex.stub == this).forEach(ex -> ex.exempt = true);
        channel.reset();
        simulation.scheduleRead(channel);
    }

    @Override
    public void onWritten(byte[] bytes) {
        if (disconnected) {
            return;
        }
        lastReceivedAt = simulation.now();
        received = SimChannel.concatenate(received, bytes);
        while (received.length >= 4) {
            int length = (received[0] & 0xff) << 24 | (received[1] & 0xff) << 16 | (received[2] & 0xff) << 8
                    | received[3] & 0xff;
            if (length < 5 || length > 8_192) {
                throw new InvariantViolation("a malformed frame is sent to a stub");
            }
            if (received.length < 4 + length) {
                break;
            }
            byte[] frameBytes = Arrays.copyOf(received, 4 + length);
            received = Arrays.copyOfRange(received, 4 + length, received.length);
            try {
                onFrame(StubFrames.read(new DataInputStream(new ByteArrayInputStream(frameBytes))));
            } catch (IOException | IndexOutOfBoundsException e) {
                throw new InvariantViolation("a malformed frame is sent to a stub", e);
            }
        }
    }

    private void onFrame(StubFrames.Frame frame) {
        switch (frame.type()) {
            case StubFrames.ANSWER -> {
                ExchangeOracle.TrackedExchange ex = exchangesByStream.get(frame.stream());
                if (ex != null) {
                    if (ex.answerCount == 0 || !sentInvalid) {
                        simulation.oracle.onAnswer(ex, frame.code(), frame.body(), simulation.now());
                    }
                } else if (!sentInvalid) {
                    throw new InvariantViolation("an answer on a stream without an exchange");
                } else if (frame.code() == StubFrames.COMPLETED) {
                    throw new InvariantViolation("an invalid exchange is completed");
                }
            }
            case HEALTH_CHECK_ANSWER -> {
                if (openHealthChecks.merge(frame.stream(), -1, Integer::sum) < 0 && !sentInvalid) {
                    throw new InvariantViolation("a health check is answered twice");
                }
            }
            case StubFrames.GO_AWAY -> simulation.schedule(simulation.now() + simulation.randomDelay(),
                    () -> simulation.onGoAway(this));
            default -> throw new InvariantViolation("a frame of an unknown type is sent to a stub");
        }
    }

    /** A stub closes its side too, unless it has violated the protocol: then it keeps the connection open for good. */
    @Override
    public void onOutputShutdown() {
        if (!disconnected) {
            disconnected = true;
            simulation.oracle.onConnectionClosed(this, simulation.now());
            if (!sentInvalid) {
                halfClose();
            }
        }
    }

    @Override
    public void onClosed(boolean unread) {
        if (unread && !stalled && simulation.now() - lastReceivedAt < ExchangeOracle.WRITE_DELAY_TENTHS_MS) {
            throw new InvariantViolation("a reset discards answers that were just written");
        }
        if (!disconnected) {
            disconnected = true;
            simulation.oracle.onConnectionClosed(this, simulation.now());
        }
    }

    /** Records which exchanges the chain has read completely by now. */
    void recordConsumed(long now) {
        while (consumedCount < sentExchanges.size() && channel.bytesRead
                >= sentExchanges.get(consumedCount).endOffset) {
            sentExchanges.get(consumedCount++).consumedAt = now;
        }
    }
}
