package org.fuchsiaford.hash;

/** The FNV-1a hash of 64 bits, byte by byte. Stateless, hence thread-safe. */
public final class Fnv1a {
    /** The hash of nothing, from which hashing starts. */
    public static final long OFFSET_BASIS = 0xcbf29ce484222325L;

    private static final long PRIME = 0x100000001b3L;

    private Fnv1a() {}

    /** Returns the hash with one more byte. */
    public static long update(long hash, byte next) {
        return (hash ^ (next & 0xff)) * PRIME;
    }

    /** Returns the hash with more bytes. */
    public static long update(long hash, byte[] bytes) {
        long result = hash;
        for (byte next : bytes) {
            result = update(result, next);
        }
        return result;
    }
}
