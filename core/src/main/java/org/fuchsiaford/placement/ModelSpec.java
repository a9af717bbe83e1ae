package org.fuchsiaford.placement;

import java.util.concurrent.TimeUnit;
import org.fuchsiaford.bundle.Model;

/**
 * The properties of a pool's model that a placement policy uses. Immutable.
 *
 * @param firstTokenTargetNanos the target for the time to first token
 * @param betweenTokensTargetNanos the target for the time between output tokens
 * @param blockTokens the size of a KV cache block, in tokens
 * @param kvBytesPerToken the size of the KV cache entry of a token, in bytes
 */
public record ModelSpec(
        long firstTokenTargetNanos,
        long betweenTokensTargetNanos,
        int blockTokens,
        int kvBytesPerToken) {

    /** Returns the properties that the bundle declares for a model. */
    public static ModelSpec of(Model model) {
        return new ModelSpec(
                TimeUnit.MILLISECONDS.toNanos(model.firstTokenTargetMillis()),
                TimeUnit.MILLISECONDS.toNanos(model.betweenTokensTargetMillis()),
                model.pieceTokens(),
                model.kvBytesPerToken());
    }

    /** Returns the number of KV cache blocks needed for a number of tokens. */
    public int blocks(int tokens) {
        return (tokens + blockTokens - 1) / blockTokens;
    }
}
