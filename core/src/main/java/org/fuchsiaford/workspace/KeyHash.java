package org.fuchsiaford.workspace;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;

/**
 * The SHA-256 hash of a caller's API key. The keys themselves are never stored. Immutable.
 *
 * @param value {@code sha256:} followed by 64 lower-case hexadecimal digits
 */
public record KeyHash(@JsonValue String value) {
    private static final Pattern FORMAT = Pattern.compile("sha256:[0-9a-f]{64}");

    /** Parses a hash; throws IllegalArgumentException if the value has any other form. */
    @JsonCreator
    public KeyHash {
        if (!isHash(value)) {
            throw new IllegalArgumentException(
                    "key hash must be 'sha256:' and 64 lower-case hex digits");
        }
    }

    /** Returns whether the text is a valid hash. */
    public static boolean isHash(String text) {
        return text != null && FORMAT.matcher(text).matches();
    }

    /** Computes the hash of a key. */
    public static KeyHash of(String key) {
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(key.getBytes(StandardCharsets.UTF_8));
            return new KeyHash("sha256:" + HexFormat.of().formatHex(digest));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java runtime does not support SHA-256", e);
        }
    }
}
