package vetchrill.fuzz;

/** Something that must not happen and did. */
public final class InvariantViolation extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public InvariantViolation(String message) {
        super(message);
    }

    public InvariantViolation(String message, Throwable cause) {
        super(message, cause);
    }
}
