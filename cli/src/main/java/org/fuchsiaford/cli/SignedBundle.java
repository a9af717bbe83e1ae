package org.fuchsiaford.cli;

import org.fuchsiaford.bundle.Digest;

/**
 * The stored record of a signed bundle, from which a rollback restores it. Immutable.
 *
 * @param version the version number that the operators assigned to the bundle
 * @param manifest the digest of the bundle's manifest
 * @param signature the operators' signature over version and manifest digest, in Base64
 */
public record SignedBundle(long version, Digest manifest, String signature) {}
