package org.fuchsiaford.standin.engine;

import java.nio.charset.StandardCharsets;
import org.fuchsiaford.hash.Fnv1a;

/**
 * Generates the completion of a prompt. Each token depends only on the text before it, so that any
 * engine continues an interrupted completion in the same way. Not thread-safe.
 */
public final class CompletionText {
    /** The number of bytes of text for each token, in prompts and completions. */
    public static final int BYTES_PER_TOKEN = 4;

    private long mHash = Fnv1a.OFFSET_BASIS;

    /** Starts the completion of a prompt. */
    public CompletionText(String prompt) {
        append(prompt);
    }

    /** Returns the number of tokens of a text, at least one. */
    public static int countTokens(String text) {
        int bytes = text.getBytes(StandardCharsets.UTF_8).length;
        return Math.max((bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN, 1);
    }

    /** Generates the next token. */
    public String nextToken() {
        String token = String.format(" %03x", (mHash >>> 20) & 0xfff);
        append(token);
        return token;
    }

    private void append(String text) {
        mHash = Fnv1a.update(mHash, text.getBytes(StandardCharsets.UTF_8));
    }
}
