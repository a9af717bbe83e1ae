package org.fuchsiaford.prompt;

import java.util.HexFormat;
import java.util.Optional;
import org.fuchsiaford.hash.KeyedHash;
import org.fuchsiaford.workspace.KeyHash;

/** Recognises a request that comes again under another id. Stateless, hence thread-safe. */
public final class RequestFingerprint {
    /** Contains a colon, so that no part of a prompt that a caller names is equal to it. */
    private static final String PREFIX = "request:";

    private static final int LENGTH_BYTES = 16;

    private RequestFingerprint() {}

    /** Returns whether an id is the fingerprint of a request, not a part of its prompt. */
    static boolean isFingerprint(PromptPartId part) {
        return part.value().startsWith(PREFIX);
    }

    /**
     * Returns an id that is the same for requests of one caller with the same method, host, path,
     * query and body. It is a hash keyed by the caller, so that it does not reveal the body to
     * those who do not know the caller's key.
     *
     * @param caller the hash of the caller's key; empty for public access
     * @param target the method, host, path and query
     */
    public static PromptPartId of(Optional<KeyHash> caller, String target, byte[] body) {
        byte[] hash = KeyedHash.of(caller, target, body);
        return new PromptPartId(PREFIX + HexFormat.of().formatHex(hash, 0, LENGTH_BYTES));
    }
}
