package org.fuchsiaford.standin.engine;

import java.nio.charset.StandardCharsets;
import org.fuchsiaford.hash.Fnv1a;

/**
 * Makes the answer of a model engine: each token depends on the whole text before it and on nothing
 * else, so that any engine continues a broken answer in the same way. Not thread-safe.
 */
public final class CompletionText {
    /** The bytes of text that stand for one token, in prompts and answers. */
    public static final int BYTES_PER_TOKEN = 4;

    private long mHash = Fnv1a.OFFSET_BASIS;

    /** Starts an answer to a prompt. */
    public CompletionText(String prompt) {
        append(prompt);
    }

    /** Returns the tokens of a text. */
    public static int countTokens(String text) {
        int bytes = text.getBytes(StandardCharsets.UTF_8).length;
        return Math.max((bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN, 1);
    }

    /** Returns the next token. */
    public String nextToken() {
        String token = String.format(" %03x", (mHash >>> 20) & 0xfff);
        append(token);
        return token;
    }

    private void append(String text) {
        mHash = Fnv1a.update(mHash, text.getBytes(StandardCharsets.UTF_8));
    }
}
