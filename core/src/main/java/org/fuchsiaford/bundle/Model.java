package org.fuchsiaford.bundle;

import org.fuchsiaford.backend.ModelId;

/**
 * A model that the deployment serves. Immutable.
 *
 * @param id the ID of the model
 * @param firstTokenTargetMillis the latency target for the first token, in milliseconds
 * @param betweenTokensTargetMillis the latency target between tokens, in milliseconds
 * @param pieceTokens the KV cache block size, in tokens
 * @param maxContextTokens the context length, prompt and output together, in tokens
 * @param kvBytesPerToken the KV cache size of one token, in bytes
 * @param minBytesPerToken the fewest bytes of text that a token can stand for; gives an upper bound
 *     on the token count of a text
 */
public record Model(
        ModelId id,
        long firstTokenTargetMillis,
        long betweenTokensTargetMillis,
        int pieceTokens,
        int maxContextTokens,
        int kvBytesPerToken,
        int minBytesPerToken) {}
