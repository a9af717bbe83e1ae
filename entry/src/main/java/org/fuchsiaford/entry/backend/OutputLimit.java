package org.fuchsiaford.entry.backend;

import java.io.IOException;

/**
 * Limits the output of one stream of an engine by the tokens that were asked for, since the output
 * is kept until the request is complete. Not thread-safe; the chunks of a stream arrive
 * sequentially.
 */
final class OutputLimit {
    /** More characters than a token of any known model stands for. */
    private static final int MAX_CHARACTERS_PER_TOKEN = 256;

    /** Allows for chunks without a token, and for a few tokens of many characters. */
    private static final int SPARE_CHUNKS = 64;

    private final long mMaxChunks;
    private long mChunks;
    private long mCharacters;

    OutputLimit(int maxTokens) {
        mMaxChunks = 2L * maxTokens + SPARE_CHUNKS;
    }

    /**
     * Counts a chunk and returns it; fails if the output is longer than that of any sound engine.
     */
    CompletionChunk count(CompletionChunk chunk) throws IOException {
        mChunks++;
        mCharacters += chunk.text().length();
        if (mChunks > mMaxChunks || mCharacters > mMaxChunks * MAX_CHARACTERS_PER_TOKEN) {
            throw new IOException("the output exceeds the tokens that were asked for");
        }
        return chunk;
    }
}
