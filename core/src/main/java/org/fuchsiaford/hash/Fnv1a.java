package org.fuchsiaford.hash;

/** Incremental 64-bit FNV-1a hash. Stateless and therefore thread-safe. */
public final class Fnv1a {
    /** The initial hash value, which is also the hash of empty input. */
    public static final long OFFSET_BASIS = 0xcbf29ce484222325L;

    private static final long PRIME = 0x100000001b3L;

    private Fnv1a() {}

    /** Returns the hash extended by one byte. */
    public static long update(long hash, byte next) {
        return (hash ^ (next & 0xff)) * PRIME;
    }

    /** Returns the hash extended by all bytes of an array. */
    public static long update(long hash, byte[] bytes) {
        long result = hash;
        for (byte next : bytes) {
            result = update(result, next);
        }
        return result;
    }
}
