package org.fuchsiaford.routing;

/**
 * What each model engine of a service can hold. Immutable.
 *
 * @param seats requests that it runs at once
 * @param memoryTokens tokens of KV cache that it holds
 * @param promptLifeMillis how long a prefill engine keeps a prompt that nobody has fetched
 */
public record EngineCapacity(int seats, long memoryTokens, long promptLifeMillis) {}
