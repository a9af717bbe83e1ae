package org.fuchsiaford.entry.gateway.protocol;

import org.fuchsiaford.registry.ServerAddress;

/**
 * The KV cache of a prompt, held for a limited time by the engine that ran prefill. Immutable.
 *
 * @param address the address of the engine that holds it
 * @param handle the handle that the engine assigned to it; can be used once
 * @param fetchUntilNanos until when a decode engine may be instructed to fetch it
 */
public record KvSource(ServerAddress address, String handle, long fetchUntilNanos) {}
