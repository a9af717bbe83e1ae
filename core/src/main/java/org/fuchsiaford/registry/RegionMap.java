package org.fuchsiaford.registry;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.bundle.RegionId;

/**
 * The regions of the failure domains, as the settings state them.
 *
 * <p>Invariant: a server whose region is not known serves no request that is bound to regions,
 * unless no region is known at all, in which case nothing is bound. Immutable.
 *
 * @param regions the region of each known failure domain
 */
public record RegionMap(Map<FailureDomainId, RegionId> regions) {
    /** The map of a host whose settings state no region. */
    public static final RegionMap NONE = new RegionMap(Map.of());

    /** Creates a map. */
    public RegionMap {
        regions = Map.copyOf(regions);
    }

    /** Returns whether requests are bound to the regions that are allowed for them. */
    public boolean isBinding() {
        return !regions.isEmpty();
    }

    /** Returns the region of a failure domain, if it is known. */
    public Optional<RegionId> regionOf(FailureDomainId domain) {
        return Optional.ofNullable(regions.get(domain));
    }

    /** Returns whether servers in a failure domain may serve a request. */
    public boolean admits(FailureDomainId domain, AllowedRegions allowed) {
        return !isBinding()
                || !allowed.bound()
                || regionOf(domain).filter(allowed.regions()::contains).isPresent();
    }

    /** Returns the servers that may serve a request. */
    public List<LiveServer> admitted(List<LiveServer> servers, AllowedRegions allowed) {
        return !isBinding() || !allowed.bound()
                ? servers
                : servers.stream().filter(s -> admits(s.failureDomain(), allowed)).toList();
    }
}
