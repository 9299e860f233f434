package vetchrill.fuzz;

/** Thrown by a target if the product violates an invariant; the message is the same for the same cause. */
public final class InvariantViolation extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public InvariantViolation(String message) {
        super(message);
    }

    public InvariantViolation(String message, Throwable cause) {
        super(message, cause);
    }
}
