package org.fuchsiaford.bundle;

/**
 * A failure domain and the region that contains it. Immutable.
 *
 * @param id the ID of the failure domain
 * @param region the containing region
 */
public record FailureDomain(FailureDomainId id, RegionId region) {}
