package org.fuchsiaford.entry.gateway.fleet;

/**
 * What the settings of a host ask of the placement of model requests. Immutable.
 *
 * @param minTimedEngines the fewest engines of a service whose declared times count
 * @param fairQueue whether kinds of request and workspaces have shares while requests wait
 */
public record PlacementSettings(int minTimedEngines, boolean fairQueue) {
    /** Placement without declared times and shares. */
    public static final PlacementSettings DEFAULT = new PlacementSettings(Integer.MAX_VALUE, false);
}
