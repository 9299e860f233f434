package vetchrill.tool;

/** What was asked for can't be done as it was asked; the message says what is allowed. */
public final class BadUse extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public BadUse(String message) {
        super(message);
    }
}
