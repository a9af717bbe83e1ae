package org.fuchsiaford.placement;

import org.fuchsiaford.hash.Fnv1a;

/**
 * Hashes the prefixes of a prompt, one for each whole piece, with FNV-1a over the bytes from the
 * start of the prompt. Equal prefixes give equal hashes.
 *
 * <p>Stateless, hence thread-safe.
 */
public final class PrefixHashes {
    private PrefixHashes() {}

    /**
     * Returns the hashes of a prompt's prefixes, shortest first.
     *
     * @param prompt the prompt
     * @param bytesPerPiece the size of a piece in bytes of text
     */
    public static long[] of(byte[] prompt, int bytesPerPiece) {
        long[] hashes = new long[prompt.length / bytesPerPiece];
        long hash = Fnv1a.OFFSET_BASIS;
        for (int i = 0; i < hashes.length * bytesPerPiece; i++) {
            hash = Fnv1a.update(hash, prompt[i]);
            if ((i + 1) % bytesPerPiece == 0) {
                hashes[i / bytesPerPiece] = hash;
            }
        }
        return hashes;
    }
}
