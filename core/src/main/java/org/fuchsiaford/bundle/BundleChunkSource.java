package org.fuchsiaford.bundle;

/** Where pieces come from while a bundle is assembled. Implementations state their threading. */
@FunctionalInterface
public interface BundleChunkSource {
    /** Returns the bytes of a piece, or null if it is not at hand. */
    byte[] bytes(Digest digest);
}
