package org.fuchsiaford.placement;

import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.bundle.BackendKind;
import org.fuchsiaford.bundle.BackendServer;
import org.fuchsiaford.bundle.FailureDomainId;

/**
 * What a policy knows of an engine beforehand. Immutable.
 *
 * @param id the engine
 * @param kind whether it prefills or decodes
 * @param failureDomain where it runs
 * @param batchSlots requests that it decodes at once
 * @param blocks pieces of memory
 * @param prefillTokensPerSecond prefill speed
 * @param linkBytesPerSecond rate of its transfer link
 */
public record EngineSpec(
        BackendServerId id,
        BackendKind kind,
        FailureDomainId failureDomain,
        int batchSlots,
        int blocks,
        long prefillTokensPerSecond,
        long linkBytesPerSecond) {

    /** Returns what the bundle declares of an engine. */
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
