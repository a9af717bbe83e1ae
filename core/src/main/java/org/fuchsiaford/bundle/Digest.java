package org.fuchsiaford.bundle;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A SHA-256 digest, used as the address of content such as a bundle chunk. Immutable.
 *
 * @param value 64 hexadecimal digits
 */
public record Digest(@JsonValue String value) {
    /** Creates a digest from its hexadecimal form. */
    @JsonCreator
    public Digest {
        if (value == null || value.length() != 64) {
            throw new IllegalArgumentException("not a SHA-256 digest: " + value);
        }
    }

    /** Computes the digest of the given bytes. */
    public static Digest of(byte[] bytes) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(bytes);
            return new Digest(HexFormat.of().formatHex(digest));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java runtime does not provide SHA-256", e);
        }
    }
}
