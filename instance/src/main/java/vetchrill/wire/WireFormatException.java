package vetchrill.wire;

/** Input that the wire does not allow; the message names the line and the reason. */
public final class WireFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireFormatException(long line, String reason) {
        super("line " + line + ": " + reason);
    }
}
