package vetchrill.capture;

/** A capture that can't be used; the message names the file and what is wrong with it. */
public final class CaptureException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public CaptureException(String message) {
        super(message);
    }
}
