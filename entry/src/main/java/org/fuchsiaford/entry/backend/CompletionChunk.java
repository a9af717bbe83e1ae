package org.fuchsiaford.entry.backend;

/**
 * A chunk of the output of an engine. Immutable.
 *
 * @param text the generated text
 * @param completionTokens the number of tokens in the stream so far, including this chunk
 * @param finishReason the reason why generation ended, or null if more chunks follow
 */
public record CompletionChunk(String text, int completionTokens, String finishReason) {
    /** Returns whether this is the last chunk of the output. */
    public boolean isLast() {
        return finishReason != null;
    }
}
