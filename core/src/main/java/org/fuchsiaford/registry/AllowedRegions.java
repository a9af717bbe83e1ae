package org.fuchsiaford.registry;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.fuchsiaford.bundle.RegionId;

/**
 * The regions whose servers may serve a request. Immutable.
 *
 * @param bound whether the request is bound to regions; otherwise any may serve it
 * @param regions the allowed regions of a bound request; empty if none may serve it
 */
public record AllowedRegions(boolean bound, Set<RegionId> regions) {
    /** Any region may serve the request. */
    public static final AllowedRegions ALL = new AllowedRegions(false, Set.of());

    /** Creates allowed regions. */
    public AllowedRegions {
        regions = Set.copyOf(regions);
    }

    /** Creates allowed regions from a declared list; an empty list allows all. */
    public static AllowedRegions of(List<RegionId> declared) {
        return declared.isEmpty() ? ALL : new AllowedRegions(true, Set.copyOf(declared));
    }

    /** Returns the regions that both allow. */
    public AllowedRegions and(AllowedRegions other) {
        if (!bound || !other.bound) {
            return bound ? this : other;
        }
        Set<RegionId> common = new TreeSet<>(regions);
        common.retainAll(other.regions);
        return new AllowedRegions(true, common);
    }

    /** Returns the regions in order; empty if all are allowed. */
    public List<RegionId> toList() {
        return regions.stream().sorted().toList();
    }

    /** Returns whether no region may serve the request. */
    public boolean isNone() {
        return bound && regions.isEmpty();
    }
}
