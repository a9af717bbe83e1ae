package org.fuchsiaford.bundle;

import java.util.List;

/**
 * Lists the chunks of a bundle. Immutable.
 *
 * @param version the version number that the operators assigned to the bundle
 * @param fleet the digest of the chunk with everything except the workspaces
 * @param workspaces the digests of the chunks with the workspaces, in bucket order
 */
public record Manifest(long version, Digest fleet, List<Digest> workspaces) {}
