package org.fuchsiaford.workspace;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;

/**
 * The SHA-256 hash of a caller's key. Keys themselves are never stored. Immutable.
 *
 * @param value {@code sha256:} and 64 hexadecimal digits
 */
public record KeyHash(@JsonValue String value) {
    private static final Pattern FORM = Pattern.compile("sha256:[0-9a-f]{64}");

    /** Creates a hash from its text form; throws IllegalArgumentException on any other form. */
    @JsonCreator
    public KeyHash {
        if (!isHash(value)) {
            throw new IllegalArgumentException("not of the form sha256:<64 hex digits>");
        }
    }

    /** Returns whether the text is a hash. */
    public static boolean isHash(String text) {
        return text != null && FORM.matcher(text).matches();
    }

    /** Returns the hash of a key. */
    public static KeyHash of(String key) {
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(key.getBytes(StandardCharsets.UTF_8));
            return new KeyHash("sha256:" + HexFormat.of().formatHex(digest));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing from the runtime", e);
        }
    }
}
