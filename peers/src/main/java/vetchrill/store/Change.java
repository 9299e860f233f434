package vetchrill.store;

/** One fact that is to be held from now on, or no more where {@code value} is null. */
public record Change(String key, byte[] value) {
    /** Longest of a key in octets of UTF-8, and of a value. */
    public static final int MAX_KEY_BYTES = 1 << 10;
    public static final int MAX_VALUE_BYTES = 1 << 20;

    public Change {
        if (key == null || key.isEmpty() || key.length() > MAX_KEY_BYTES / 3
                || value != null && value.length > MAX_VALUE_BYTES) {
            throw new IllegalArgumentException("a fact without a key, or too long to be kept");
        }
    }
}
