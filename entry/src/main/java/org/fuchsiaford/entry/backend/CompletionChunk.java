package org.fuchsiaford.entry.backend;

/**
 * A piece of an engine's answer. Immutable.
 *
 * @param text the text
 * @param completionTokens the tokens of this stream so far, this piece included
 * @param finishReason why the answer ends here, or null if it goes on
 */
public record CompletionChunk(String text, int completionTokens, String finishReason) {
    /** Returns whether the answer is complete. */
    public boolean isLast() {
        return finishReason != null;
    }
}
