package vetchrill.capture;

/** A capture that can't be used; the message names the file and what is wrong with it. */
public final class CaptureFault extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public CaptureFault(String message) {
        super(message);
    }
}
