package vetchrill.control;

/**
 * The key of a deduplicated exchange that the host stores, and when it expires. Refers to no exchange, so that the body
 * of one that has ended is not kept for as long as its key.
 */
final class StoredKey {
    final long expiresAt;

    StoredKey(long expiresAt) {
        this.expiresAt = expiresAt;
    }
}
