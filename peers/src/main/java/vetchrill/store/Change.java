package vetchrill.store;

/**
 * One change of a commit: sets a key, or deletes it.
 *
 * @param value null to delete the key
 */
public record Change(String key, byte[] value) {
    /** Of the key in UTF-8. */
    public static final int MAX_KEY_BYTES = 1 << 10;
    public static final int MAX_VALUE_BYTES = 1 << 20;
    /** At most so many bytes of UTF-8 for one {@code char} of a key. */
    private static final int MAX_UTF8_BYTES_PER_CHAR = 3;

    public Change {
        if (key == null || key.isEmpty() || key.length() > MAX_KEY_BYTES / MAX_UTF8_BYTES_PER_CHAR
                || value != null && value.length > MAX_VALUE_BYTES) {
            throw new IllegalArgumentException("change without a key, or with a key or value that is too long");
        }
    }
}
