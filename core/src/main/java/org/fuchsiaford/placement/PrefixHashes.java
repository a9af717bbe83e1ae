package org.fuchsiaford.placement;

/**
 * Hashes the prefixes of a prompt, one for each whole piece, with FNV-1a over the bytes from the
 * start of the prompt. Equal prefixes give equal hashes.
 *
 * <p>Stateless, hence thread-safe.
 */
public final class PrefixHashes {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private PrefixHashes() {}

    /**
     * Returns the hashes of a prompt's prefixes, shortest first.
     *
     * @param prompt the prompt
     * @param bytesPerPiece the size of a piece in bytes of text
     */
    public static long[] of(byte[] prompt, int bytesPerPiece) {
        long[] hashes = new long[prompt.length / bytesPerPiece];
        long hash = FNV_OFFSET;
        for (int i = 0; i < hashes.length * bytesPerPiece; i++) {
            hash = (hash ^ (prompt[i] & 0xff)) * FNV_PRIME;
            if ((i + 1) % bytesPerPiece == 0) {
                hashes[i / bytesPerPiece] = hash;
            }
        }
        return hashes;
    }
}
