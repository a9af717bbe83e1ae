package org.fuchsiaford.bundle;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The SHA-256 digest of a piece of a bundle, by which the piece is addressed. Immutable.
 *
 * @param value 64 hexadecimal digits
 */
public record Digest(@JsonValue String value) {
    /** Creates a digest from its text form. */
    @JsonCreator
    public Digest {
        if (value == null || value.length() != 64) {
            throw new IllegalArgumentException("not a SHA-256 digest: " + value);
        }
    }

    /** Returns the digest of some bytes. */
    public static Digest of(byte[] bytes) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(bytes);
            return new Digest(HexFormat.of().formatHex(digest));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing from the runtime", e);
        }
    }
}
