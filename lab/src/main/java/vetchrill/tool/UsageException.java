package vetchrill.tool;

/** What was asked for can't be done as it was asked; the message says what is allowed. */
public final class UsageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public UsageException(String message) {
        super(message);
    }
}
