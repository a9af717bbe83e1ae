package org.fuchsiaford.bundle;

/**
 * A content-addressed part of a bundle in the form in which it is stored. The array is not copied
 * and must not be modified after construction.
 *
 * @param digest the digest of the bytes, by which the chunk is addressed
 * @param bytes gzip-compressed JSON
 */
public record BundleChunk(Digest digest, byte[] bytes) {}
