package org.fuchsiaford.entry.gateway.protocol;

import java.util.List;
import java.util.Optional;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.bundle.RegionId;

/** The status that an entry host publishes about itself and the fleet. Thread-safe. */
public interface PublishedStatus {
    /** Returns whether the host accepts new callers. */
    boolean isReady();

    /**
     * Returns the addresses, {@code ip:port}, that a caller should use.
     *
     * @param domain the failure domain of the caller
     * @param region its region, if it states one
     */
    List<String> callerAddresses(FailureDomainId domain, Optional<RegionId> region);
}
