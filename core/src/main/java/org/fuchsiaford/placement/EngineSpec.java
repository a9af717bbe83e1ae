package org.fuchsiaford.placement;

import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.bundle.BackendKind;
import org.fuchsiaford.bundle.BackendServer;
import org.fuchsiaford.bundle.FailureDomainId;

/**
 * The static properties of an engine that a placement policy uses. Immutable.
 *
 * @param id the ID of the engine
 * @param kind whether it runs prefill or decode
 * @param failureDomain the failure domain that it runs in
 * @param batchSlots the number of requests that it can decode concurrently
 * @param blocks the number of KV cache blocks
 * @param prefillTokensPerSecond the prefill throughput
 * @param linkBytesPerSecond the bandwidth of its KV cache transfer link
 */
public record EngineSpec(
        BackendServerId id,
        BackendKind kind,
        FailureDomainId failureDomain,
        int batchSlots,
        int blocks,
        long prefillTokensPerSecond,
        long linkBytesPerSecond) {

    /** Returns the properties that the bundle declares for an engine. */
    public static EngineSpec of(BackendServer server) {
        return new EngineSpec(
                server.id(),
                server.kind(),
                server.failureDomain(),
                server.seats(),
                server.pieces(),
                server.prefillTokensPerSecond(),
                server.linkBytesPerSecond());
    }
}
