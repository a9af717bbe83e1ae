package org.fuchsiaford.routing;

/**
 * What each model engine of a service can hold. Immutable.
 *
 * @param maxConcurrentRequests requests that it runs at once
 * @param kvCapacityTokens tokens of KV cache that it holds
 * @param handleTtlMillis how long a prefill engine keeps a prompt that nobody has fetched
 */
public record EngineCapacity(
        int maxConcurrentRequests, long kvCapacityTokens, long handleTtlMillis) {}
