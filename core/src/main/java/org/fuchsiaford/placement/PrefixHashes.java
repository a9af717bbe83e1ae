package org.fuchsiaford.placement;

import org.fuchsiaford.hash.Fnv1a;

/**
 * Hashes the prefixes of a prompt. There is one FNV-1a hash for each full block, computed over all
 * bytes from the start of the prompt to the end of the block, so equal prefixes have equal hashes.
 *
 * <p>Stateless and therefore thread-safe.
 */
public final class PrefixHashes {
    private PrefixHashes() {}

    /**
     * Returns the prefix hashes of a prompt, shortest prefix first.
     *
     * @param prompt the encoded prompt text
     * @param bytesPerBlock the size of a block in bytes of text
     */
    public static long[] of(byte[] prompt, int bytesPerBlock) {
        long[] hashes = new long[prompt.length / bytesPerBlock];
        long hash = Fnv1a.OFFSET_BASIS;
        for (int i = 0; i < hashes.length * bytesPerBlock; i++) {
            hash = Fnv1a.update(hash, prompt[i]);
            if ((i + 1) % bytesPerBlock == 0) {
                hashes[i / bytesPerBlock] = hash;
            }
        }
        return hashes;
    }
}
