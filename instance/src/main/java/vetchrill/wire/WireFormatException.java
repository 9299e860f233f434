package vetchrill.wire;

/** Thrown for invalid input; the message names the line number and the reason. */
public final class WireFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireFormatException(long line, String reason) {
        super("line " + line + ": " + reason);
    }
}
