package org.fuchsiaford.hash;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.fuchsiaford.workspace.KeyHash;

/**
 * Hashes that are keyed by a caller, so that they tell nothing to those who do not know the
 * caller's key. Stateless and therefore thread-safe.
 */
public final class KeyedHash {
    private static final String ALGORITHM = "HmacSHA256";
    private static final byte[] PUBLIC_CALLER = {0};

    private KeyedHash() {}

    /** Returns the hash of two texts, of which the first contains no line break. */
    public static byte[] of(Optional<KeyHash> caller, String first, String second) {
        return of(caller, first, second.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the hash of a text without line breaks and of bytes.
     *
     * @param caller the hash of the caller's key; empty for public access
     */
    public static byte[] of(Optional<KeyHash> caller, String text, byte[] bytes) {
        byte[] key =
                caller.map(hash -> hash.value().getBytes(StandardCharsets.US_ASCII))
                        .orElse(PUBLIC_CALLER);
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
            mac.update(text.getBytes(StandardCharsets.UTF_8));
            mac.update((byte) '\n');
            return mac.doFinal(bytes);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("the Java runtime does not provide " + ALGORITHM, e);
        }
    }
}
