package org.fuchsiaford.bundle;

/**
 * Provides the chunks from which a bundle is assembled. Implementations document their thread
 * safety.
 */
@FunctionalInterface
public interface BundleChunkSource {
    /** Returns the bytes of a chunk, or null if the chunk is not available. */
    byte[] bytes(Digest digest);
}
