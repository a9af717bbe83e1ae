package org.fuchsiaford.placement;

import java.util.concurrent.TimeUnit;
import org.fuchsiaford.bundle.Model;

/**
 * What a policy knows of a pool's model. Immutable.
 *
 * @param firstTokenTargetNanos the target for the first token
 * @param betweenTokensTargetNanos the target between tokens
 * @param blockTokens the size of a piece of engine memory, in tokens
 * @param kvBytesPerToken the size of a token in the KV cache
 */
public record ModelSpec(
        long firstTokenTargetNanos,
        long betweenTokensTargetNanos,
        int blockTokens,
        int kvBytesPerToken) {

    /** Returns what the bundle declares of a model. */
    public static ModelSpec of(Model model) {
        return new ModelSpec(
                TimeUnit.MILLISECONDS.toNanos(model.firstTokenTargetMillis()),
                TimeUnit.MILLISECONDS.toNanos(model.betweenTokensTargetMillis()),
                model.pieceTokens(),
                model.kvBytesPerToken());
    }

    /** Returns how many pieces of memory some tokens take. */
    public int blocks(int tokens) {
        return (tokens + blockTokens - 1) / blockTokens;
    }
}
