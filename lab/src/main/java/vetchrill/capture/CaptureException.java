package vetchrill.capture;

/** A capture cannot be used; the message names the file and the reason. */
public final class CaptureException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public CaptureException(String message) {
        super(message);
    }
}
