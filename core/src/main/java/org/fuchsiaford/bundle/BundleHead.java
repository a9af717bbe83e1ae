package org.fuchsiaford.bundle;

/**
 * The stored record that points to the active bundle. It is updated only by compare-and-swap.
 *
 * <p>Invariant: generations only increase. At most one generation is not yet accepted, because a
 * new head may replace only an accepted one. Immutable.
 *
 * @param generation the number of times that the head was pointed to another bundle
 * @param bundleVersion the version number that the operators assigned to the bundle
 * @param manifest the digest of the bundle's manifest
 * @param signature the operators' signature over version and manifest digest, in Base64
 * @param previousManifest the manifest digest of the preceding generation, or null for the first
 * @param accepted whether a majority of each grantor set has acknowledged this generation and all
 *     leases for earlier generations have expired
 */
public record BundleHead(
        Generation generation,
        long bundleVersion,
        Digest manifest,
        String signature,
        Digest previousManifest,
        boolean accepted) {

    /** Returns the head of the next generation, which is not yet accepted. */
    public BundleHead next(long version, Digest nextManifest, String nextSignature) {
        return new BundleHead(
                generation.next(), version, nextManifest, nextSignature, manifest, false);
    }

    /** Returns a copy of this head that is marked as accepted. */
    public BundleHead asAccepted() {
        return new BundleHead(
                generation, bundleVersion, manifest, signature, previousManifest, true);
    }
}
