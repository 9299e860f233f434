package vetchrill.routing;

import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLong;
import vetchrill.control.EndpointGroup;
import vetchrill.protocol.DeploymentReader;
import vetchrill.protocol.Fields;
import vetchrill.protocol.FrameReader;
import vetchrill.protocol.Frames;
import vetchrill.transport.Limits;

/**
 * Decodes the frames of one stub connection to exchanges. Health checks and malformed frames are answered here, on the
 * reader's thread of the connection.
 */
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
    /** Null when recording is off. */
    private final Recorder recorder;
    private final Fields fields = new Fields();

    StubFrameHandler(DeploymentReader settings, Limits limits, DecisionThread thread, Clock clock, StubConnection stub,
            AdmissionStage admission, ExchangeRegistry registry, HealthReporter healthReporter,
            AtomicLong openBodyBytes, RateLimitedLog peerLog, Recorder recorder) {
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
        if (error == null && type == Frames.HEALTH_CHECK) {
            answerHealthCheck(stream);
        } else if (error == null) {
            error = decodeExchange(stream, buf, to);
        }
        if (error != null) {
            rejectMalformed(type, stream, error);
            closeAfter(stub.inputBudget.chargeInvalidFrame());
        }
        return stub.inputBudget.mayReadOn();
    }

    /** Answers on this thread, so that checks get their answers while the decision thread is busy denying. */
    private void answerHealthCheck(int stream) {
        stub.connection.send(Frames.healthCheckAnswer(stream, healthReporter.isHealthy()));
        if (!stub.inputBudget.takeHealthCheck(clock.now())) {
            logFirstViolation("too many health checks on one connection");
            closeAfter(stub.inputBudget.chargeInvalidFrame());
        }
    }

    /** Posts the exchange to the decision thread; returns what is wrong with the frame, or null. */
    private String decodeExchange(int stream, byte[] buf, int to) {
        int groupIndex = fields.indexIn("method", settings.groupNames);
        if (groupIndex < 0) {
            return "method is missing or unknown";
        }
        String id = fields.text("rid");
        if (id == null || id.length() != RID_HEX_DIGITS || !isHex(id)) {
            return "rid is not 16 hexadecimal digits";
        }
        long arrivalWallMillis = fields.wholeNumber("t0");
        if (arrivalWallMillis < 0) {
            return "t0 is missing or not a whole number";
        }
        int customer = settings.customerNames.isEmpty() ? 0 : fields.indexIn("acct", settings.customerNames);
        if (customer < 0) {
            return "acct is missing or unknown";
        }
        double kb = fields.number("mem");
        if (!(kb > 0 && kb < EXCHANGE_MEMORY_BOUND_KB)) {
            return "mem is missing or out of range";
        }
        double priority = fields.number("prio");
        if (!(priority >= 0 && priority < 1)) {
            return "prio is missing or out of range";
        }
        long stubNumber = fields.wholeNumber("peer");
        if (stubNumber < 0) {
            return "peer is missing or not a whole number";
        }
        String token = null;
        if (settings.deployment.groups.get(groupIndex).effect == EndpointGroup.Effect.DEDUPLICATED) {
            token = fields.text("token");
            if (token == null || token.isEmpty() || token.length() > MAX_TOKEN_LENGTH) {
                return "token is missing, empty or too long";
            }
        }
        if (stream == 0) {
            return "exchange on stream 0";
        }
        if (to - fields.bodyOffset() > limits.maxBodyBytes) {
            return "body too long: " + (to - fields.bodyOffset()) + " bytes";
        }
        if (openBodyBytes.addAndGet(to - fields.bodyOffset()) > limits.maxTotalBodyBytes) {
            openBodyBytes.addAndGet(fields.bodyOffset() - to);
            // An earlier attempt may have run, and a denial would promise that none did.
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

    /** ASCII only: {@code Character.digit} accepts other scripts, for which the interpreter may close the link. */
    private static boolean isHex(String id) {
        for (int i = 0; i < id.length(); i++) {
            if (id.charAt(i) > 'f' || Character.digit(id.charAt(i), 16) < 0) {
                return false;
            }
        }
        return true;
    }

    @Override
    public boolean onOversizedFrame(int type, int stream, int length) {
        stub.onFrame(clock.now());
        rejectMalformed(type, stream, "frame is longer than any exchange needs");
        closeAfter(stub.inputBudget.chargeSkippedFrame(length));
        return stub.inputBudget.mayReadOnPast(length);
    }

    /** Answers an invalid frame with an error on its stream. */
    private void rejectMalformed(int type, int stream, String error) {
        logFirstViolation(error);
        stub.connection.send(type == Frames.HEALTH_CHECK ? Frames.healthCheckAnswer(stream, false)
                : Frames.terminated(stream));
    }

    @Override
    public void onMalformedInput(String reason) {
        logFirstViolation(reason);
        stub.connection.send(Frames.terminated(0));
        closeAfter(stub.inputBudget.chargeInvalidFrame());
    }

    /** The further violations of a connection are not logged. */
    private void logFirstViolation(String violation) {
        if (stub.inputBudget.isUntouched()) {
            peerLog.warn(LOG, "invalid input from a stub: {0}", violation);
        }
    }

    /** Has the connection closed if its budget for invalid input was used up just now. */
    private void closeAfter(boolean budgetUsedUp) {
        if (budgetUsedUp) {
            thread.post(() -> admission.onViolationLimit(stub));
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

    @Override
    public void onOutputFailed() {
        thread.post(() -> admission.onConnectionReset(stub));
    }
}
