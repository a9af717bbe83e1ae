package org.fuchsiaford.bundle;

/**
 * A failure domain and the region that it lies in. Immutable.
 *
 * @param id the failure domain
 * @param region the region
 */
public record FailureDomain(FailureDomainId id, RegionId region) {}
