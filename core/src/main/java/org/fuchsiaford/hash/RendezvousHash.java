package org.fuchsiaford.hash;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Rendezvous (highest random weight) hashing: ranks nodes for a key so that adding or removing a
 * node remaps only the keys of that node.
 *
 * <p>Stateless and therefore thread-safe.
 */
public final class RendezvousHash {
    /** A node, its weight for a key, and its string form. */
    private record Weighted<T>(T node, long weight, String text) {}

    private RendezvousHash() {}

    /** Returns the nodes ordered by descending weight for a key; ties go by their string form. */
    public static <T> List<T> rank(String key, Collection<T> nodes) {
        long seed = hash(Fnv1a.OFFSET_BASIS, key);
        return nodes.stream()
                .map(node -> new Weighted<>(node, weight(seed, node.toString()), node.toString()))
                .sorted(
                        Comparator.comparingLong((Weighted<T> w) -> w.weight())
                                .reversed()
                                .thenComparing(w -> w.text()))
                .map(Weighted::node)
                .toList();
    }

    /** Returns the hash of a string, finalized so that similar strings get unrelated hashes. */
    public static long hash(String text) {
        return mix(hash(Fnv1a.OFFSET_BASIS, text));
    }

    private static long weight(long seed, String node) {
        return mix(hash(seed, node));
    }

    private static long hash(long seed, String text) {
        return Fnv1a.update(seed, text.getBytes(StandardCharsets.UTF_8));
    }

    /** The 64-bit MurmurHash3 finalizer; without it, similar names get similar weights. */
    private static long mix(long value) {
        long h = value;
        h ^= h >>> 33;
        h *= 0xff51afd7ed558ccdL;
        h ^= h >>> 33;
        h *= 0xc4ceb9fe1a85ec53L;
        return h ^ (h >>> 33);
    }
}
