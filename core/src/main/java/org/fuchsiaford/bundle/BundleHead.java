package org.fuchsiaford.bundle;

/**
 * The one record that says which bundle is in force. It changes only by compare-and-swap.
 *
 * <p>Invariant: generations only rise; at most one generation is not yet accepted, since a new head
 * is only swapped in over an accepted one. Immutable.
 *
 * @param generation counts the swaps to another bundle
 * @param bundleVersion the operators' number of the bundle
 * @param manifest the digest of the bundle's manifest
 * @param signature the operators' signature of version and manifest, in base 64
 * @param previousManifest the manifest of the generation before, or null for the first
 * @param accepted whether a majority of each panel has been informed and all leases for earlier
 *     generations have run out
 */
public record BundleHead(
        Generation generation,
        long bundleVersion,
        Digest manifest,
        String signature,
        Digest previousManifest,
        boolean accepted) {

    /** Returns the head that follows this one. */
    public BundleHead next(long version, Digest nextManifest, String nextSignature) {
        return new BundleHead(
                generation.next(), version, nextManifest, nextSignature, manifest, false);
    }

    /** Returns this head, marked as accepted. */
    public BundleHead asAccepted() {
        return new BundleHead(
                generation, bundleVersion, manifest, signature, previousManifest, true);
    }
}
