package org.fuchsiaford.hash;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Highest-random-weight hashing: orders nodes for a key so that adding or removing one node moves
 * only the keys of that node.
 *
 * <p>Stateless, hence thread-safe.
 */
public final class RendezvousHash {
    /** A node with its weight for a key. */
    private record Weighted<T>(T node, long weight, String text) {}

    private RendezvousHash() {}

    /** Returns the nodes, best first, for a key. Ties are broken by the node's text. */
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

    /** Returns a well-mixed hash of a text. */
    public static long hash(String text) {
        return mix(hash(Fnv1a.OFFSET_BASIS, text));
    }

    private static long weight(long seed, String node) {
        return mix(hash(seed, node));
    }

    private static long hash(long seed, String text) {
        return Fnv1a.update(seed, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Finalizer of the 64-bit murmur hash; without it similar names get similar weights. */
    private static long mix(long value) {
        long h = value;
        h ^= h >>> 33;
        h *= 0xff51afd7ed558ccdL;
        h ^= h >>> 33;
        h *= 0xc4ceb9fe1a85ec53L;
        return h ^ (h >>> 33);
    }
}
