package org.fuchsiaford.routing;

/**
 * The capacity of each model engine of a service. Immutable.
 *
 * @param maxConcurrentRequests the most requests that an engine runs concurrently
 * @param kvCacheTokens the KV cache capacity of an engine, in tokens
 * @param handleTtlMillis how long a prefill engine keeps the KV cache of a prompt that no engine
 *     has fetched, in milliseconds
 */
public record EngineCapacity(int maxConcurrentRequests, long kvCacheTokens, long handleTtlMillis) {}
