package vetchrill.routing;

import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLong;
import vetchrill.control.EndpointGroup;
import vetchrill.protocol.DeploymentReader;
import vetchrill.protocol.Fields;
import vetchrill.protocol.FrameReader;
import vetchrill.protocol.Frames;
import vetchrill.transport.Limits;

/** From frame to exchange, on the reader's thread of one connection: what can't be one is answered here. */
final class StubFrameHandler implements FrameReader.Handler {
    private static final System.Logger LOG = System.getLogger("vetchrill.stub");
    private static final int RID_HEX_DIGITS = 16;
    private static final int MAX_TOKEN_LENGTH = 64;
    private static final double EXCHANGE_MEMORY_BOUND_KB = 2000;

    private final DeploymentReader settings;
    private final Limits limits;
    private final DecisionThread thread;
    private final Clock clock;
    private final StubConnection stub;
    private final AdmissionStage admission;
    private final ExchangeRegistry registry;
    private final HealthReporter healthReporter;
    private final AtomicLong openBodyBytes;
    private final RateLimitedLog peerLog;
    /** Null where nothing is recorded. */
    private final Recorder recorder;
    private final Fields fields = new Fields();

    StubFrameHandler(DeploymentReader settings, Limits limits, DecisionThread thread, Clock clock, StubConnection stub,
            AdmissionStage admission,
            ExchangeRegistry registry, HealthReporter healthReporter, AtomicLong openBodyBytes, RateLimitedLog peerLog,
            Recorder recorder) {
        this.settings = settings;
        this.limits = limits;
        this.thread = thread;
        this.clock = clock;
        this.stub = stub;
        this.admission = admission;
        this.registry = registry;
        this.healthReporter = healthReporter;
        this.openBodyBytes = openBodyBytes;
        this.peerLog = peerLog;
        this.recorder = recorder;
    }

    @Override
    public boolean onFrame(int type, int stream, byte[] buf, int from, int to) {
        String error = fields.parse(buf, from, to);
        stub.onFrame(clock.now());
        if (type == Frames.HEALTH_CHECK) {
            // Answered from here, so that checks are heard while the decision thread is busy denying.
            stub.connection.send(Frames.healthCheckAnswer(stream, error == null && healthReporter.isHealthy()));
            return true;
        }
        if (error == null) {
            error = decodeExchange(stream, buf, to);
        }
        if (error != null) {
            rejectMalformed(stream, error);
        }
        return keepsReading();
    }

    /**
     * A stub of another version may err now and then and keeps its connection; one that does nothing else would
     * cost a share of the one core for as long as it likes. What it has open is answered before it is closed.
     */
    private boolean keepsReading() {
        return stub.violations.get() < limits.maxInvalidFrames;
    }

    private String decodeExchange(int stream, byte[] buf, int to) {
        int groupIndex = fields.indexIn("method", settings.groupNames);
        if (groupIndex < 0) {
            return "no known method";
        }
        String id = fields.text("rid");
        if (id == null || id.length() != RID_HEX_DIGITS || !isHex(id)) {
            return "no rid of 16 hex digits";
        }
        long arrivalWallMillis = fields.wholeNumber("t0");
        if (arrivalWallMillis < 0) {
            return "no t0";
        }
        int customer = settings.customerNames.isEmpty() ? 0 : fields.indexIn("acct", settings.customerNames);
        if (customer < 0) {
            return "no known acct";
        }
        double kb = fields.number("mem");
        if (!(kb > 0 && kb < EXCHANGE_MEMORY_BOUND_KB)) {
            return "no mem within its range";
        }
        double priority = fields.number("prio");
        if (!(priority >= 0 && priority < 1)) {
            return "no prio within its range";
        }
        long stubNumber = fields.wholeNumber("peer");
        if (stubNumber < 0) {
            return "no peer";
        }
        String token = null;
        if (settings.deployment.groups.get(groupIndex).effect == EndpointGroup.Effect.DEDUPLICATED) {
            token = fields.text("token");
            if (token == null || token.isEmpty() || token.length() > MAX_TOKEN_LENGTH) {
                return "no token by which it is known again";
            }
        }
        if (stream == 0) {
            return "an exchange on stream 0";
        }
        if (to - fields.bodyOffset() > limits.maxBodyBytes) {
            return "a body of " + (to - fields.bodyOffset()) + " bytes";
        }
        if (openBodyBytes.addAndGet(to - fields.bodyOffset()) > limits.maxTotalBodyBytes) {
            openBodyBytes.addAndGet(fields.bodyOffset() - to);
            // An earlier try of it may have run, which a denial would say is not so.
            stub.connection.send(token == null ? Frames.denied(stream, 0, false) : Frames.terminated(stream));
            return null;
        }
        OpenExchange ex = new OpenExchange(id, settings.groupNames.get(groupIndex), stub, stream,
                Arrays.copyOfRange(buf, fields.bodyOffset(), to));
        ex.group = settings.deployment.groups.get(groupIndex);
        ex.groupIndex = groupIndex;
        ex.customer = customer;
        ex.idempotencyKey = token == null ? null : new IdempotencyCache.Key(groupIndex, customer, token, ex.body);
        ex.sizeKb = kb;
        ex.stubNumber = stubNumber;
        if (recorder != null) {
            ex.subject = fields.mapValue("obj", recorder::subject);
        }
        ex.arrivedAt = clock.fromWallMillis(arrivalWallMillis, limits.maxStampAgeTenthsMs);
        stub.queuedArrivals.incrementAndGet();
        thread.post(() -> admission.onArrival(ex));
        return null;
    }

    /** Digits of other scripts are none: the interpreter would not know the id, and may hang up on the line. */
    private static boolean isHex(String id) {
        for (int i = 0; i < id.length(); i++) {
            if (id.charAt(i) > 'f' || Character.digit(id.charAt(i), 16) < 0) {
                return false;
            }
        }
        return true;
    }

    @Override
    public boolean onOversizedFrame(int type, int stream) {
        stub.onFrame(clock.now());
        if (type == Frames.EXCHANGE) {
            rejectMalformed(stream, "a frame far beyond what an exchange needs");
        }
        return keepsReading();
    }

    private void rejectMalformed(int stream, String error) {
        countViolation(error);
        stub.connection.send(Frames.terminated(stream));
    }

    @Override
    public void onMalformedInput(String reason) {
        countViolation(reason);
        stub.connection.send(Frames.terminated(0));
    }

    /** Once for each connection. */
    private void countViolation(String violation) {
        if (stub.violations.getAndIncrement() == 0) {
            peerLog.warn(LOG, "bad input: {0}", violation);
        }
    }

    @Override
    public void onInputEnded(boolean reset) {
        thread.post(() -> {
            if (reset) {
                admission.onConnectionReset(stub);
            }
            registry.onReadEnd(stub);
        });
    }
}
