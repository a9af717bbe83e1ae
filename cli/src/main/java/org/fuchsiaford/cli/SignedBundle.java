package org.fuchsiaford.cli;

import org.fuchsiaford.bundle.Digest;

/**
 * The store's record of a signed-off bundle, by which a rollback finds it again. Immutable.
 *
 * @param version the operators' number of the bundle
 * @param manifest the digest of its manifest
 * @param signature the signature in base 64
 */
public record SignedBundle(long version, Digest manifest, String signature) {}
