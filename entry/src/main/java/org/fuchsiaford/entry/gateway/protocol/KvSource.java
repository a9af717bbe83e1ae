package org.fuchsiaford.entry.gateway.protocol;

import org.fuchsiaford.registry.ServerAddress;

/**
 * The KV cache of a prompt that an engine has read and keeps for a moment. Immutable.
 *
 * @param address the engine that keeps it
 * @param handle the engine's name of it; can be used once
 * @param fetchUntilNanos until when a decode engine can be told to fetch it
 */
public record KvSource(ServerAddress address, String handle, long fetchUntilNanos) {}
