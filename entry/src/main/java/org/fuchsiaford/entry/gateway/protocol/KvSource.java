package org.fuchsiaford.entry.gateway.protocol;

import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.registry.ServerAddress;
import org.fuchsiaford.registry.SoftwareVersion;

/**
 * The KV cache of a prompt, held for a limited time by the engine that ran prefill. Immutable.
 *
 * @param address the address of the engine that holds it
 * @param failureDomain the failure domain of that engine
 * @param version the software version of that engine; engines of others cannot use the KV cache
 * @param handle the handle that the engine assigned to it; can be used once
 * @param fetchUntilNanos until when a decode engine may be instructed to fetch it
 */
public record KvSource(
        ServerAddress address,
        FailureDomainId failureDomain,
        SoftwareVersion version,
        String handle,
        long fetchUntilNanos) {}
