package org.fuchsiaford.bundle;

/**
 * A content-addressed part of a bundle as the store keeps it. The array is not copied; nobody
 * changes it after construction.
 *
 * @param digest the address
 * @param bytes gzip-compressed JSON
 */
public record BundleChunk(Digest digest, byte[] bytes) {}
