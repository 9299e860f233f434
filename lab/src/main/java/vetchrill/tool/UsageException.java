package vetchrill.tool;

/** Invalid arguments or inputs of a command; the message says what is allowed. */
public final class UsageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public UsageException(String message) {
        super(message);
    }
}
