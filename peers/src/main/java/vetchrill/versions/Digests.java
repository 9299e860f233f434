package vetchrill.versions;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 digests. */
public final class Digests {
    private Digests() {
    }

    public static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The digest of the bytes in lower-case hexadecimal digits. */
    public static String of(byte[] bytes) {
        return HexFormat.of().formatHex(sha256().digest(bytes));
    }
}
