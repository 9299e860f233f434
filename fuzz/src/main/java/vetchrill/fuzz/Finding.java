package vetchrill.fuzz;

/** Something that must not happen and did. */
public final class Finding extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public Finding(String message) {
        super(message);
    }

    public Finding(String message, Throwable cause) {
        super(message, cause);
    }
}
