package org.fuchsiaford.routing;

/**
 * The capacity of each model engine of a service. Immutable.
 *
 * @param maxConcurrentRequests the most requests that an engine runs concurrently
 * @param kvCacheTokens the KV cache capacity of an engine, in tokens
 * @param handleTtlMillis how long a prefill engine keeps the KV cache of a prompt that no engine
 *     has fetched, in milliseconds
 * @param eventTokens the tokens in each event of a stream, one decode step each; zero if unknown
 * @param kvTokenBytes the KV cache of one token, in bytes; zero if unknown
 * @param linkMegabitsPerSecond the rate at which KV cache moves between engines of a failure
 *     domain; zero if unknown
 * @param reconfigureMillis how long an engine without running work takes to change its stage, in
 *     milliseconds; zero if unknown
 */
public record EngineCapacity(
        int maxConcurrentRequests,
        long kvCacheTokens,
        long handleTtlMillis,
        int eventTokens,
        long kvTokenBytes,
        double linkMegabitsPerSecond,
        long reconfigureMillis) {
    /** KV cache takes twice as long between failure domains. */
    private static final int REMOTE_TRANSFER_FACTOR = 2;

    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MILLI_OF_MEGABIT_PER_SECOND = 1_000;

    /** Creates a capacity of which only the sizes are known. */
    public EngineCapacity(int maxConcurrentRequests, long kvCacheTokens, long handleTtlMillis) {
        this(maxConcurrentRequests, kvCacheTokens, handleTtlMillis, 0, 0, 0, 0);
    }

    /** Returns the same capacity with unknown tokens in events. */
    public EngineCapacity withoutEventTokens() {
        return new EngineCapacity(
                maxConcurrentRequests,
                kvCacheTokens,
                handleTtlMillis,
                0,
                kvTokenBytes,
                linkMegabitsPerSecond,
                reconfigureMillis);
    }

    /** Returns whether it is known how long KV cache takes to move between engines. */
    public boolean isTransferKnown() {
        return kvTokenBytes > 0 && linkMegabitsPerSecond > 0;
    }

    /**
     * Returns how long the KV cache of a prompt takes to move, in milliseconds; zero if unknown.
     *
     * @param sameDomain whether both engines are in one failure domain
     */
    public double transferMillis(long tokens, boolean sameDomain) {
        if (!isTransferKnown()) {
            return 0;
        }
        double millis =
                tokens
                        * (double) kvTokenBytes
                        * BITS_PER_BYTE
                        / (linkMegabitsPerSecond * BITS_PER_MILLI_OF_MEGABIT_PER_SECOND);
        return sameDomain ? millis : millis * REMOTE_TRANSFER_FACTOR;
    }
}
