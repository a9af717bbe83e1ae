package org.fuchsiaford.bundle;

import java.util.List;

/**
 * Lists the pieces of a bundle. Immutable.
 *
 * @param version the operators' number of the bundle
 * @param fleet the piece with everything but the workspaces
 * @param workspaces the pieces with the workspaces, in order of their bucket
 */
public record Manifest(long version, Digest fleet, List<Digest> workspaces) {}
