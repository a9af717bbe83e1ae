package org.fuchsiaford.bundle;

import org.fuchsiaford.backend.ModelId;

/**
 * A model in use. Immutable.
 *
 * @param id the model
 * @param firstTokenTargetMillis the target for the first token, in milliseconds
 * @param betweenTokensTargetMillis the target between tokens, in milliseconds
 * @param pieceTokens the size of a piece of engine memory, in tokens
 * @param maxContextTokens the most tokens of prompt and answer together
 * @param kvBytesPerToken the size of a token in the KV cache, in bytes
 * @param minBytesPerToken the fewest bytes of text that a token stands for, an upper bound on cost
 */
public record Model(
        ModelId id,
        long firstTokenTargetMillis,
        long betweenTokensTargetMillis,
        int pieceTokens,
        int maxContextTokens,
        int kvBytesPerToken,
        int minBytesPerToken) {}
