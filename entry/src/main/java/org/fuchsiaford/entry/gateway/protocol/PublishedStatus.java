package org.fuchsiaford.entry.gateway.protocol;

import java.util.List;
import org.fuchsiaford.bundle.FailureDomainId;

/** The status that an entry host publishes about itself and the fleet. Thread-safe. */
public interface PublishedStatus {
    /** Returns whether the host accepts new callers. */
    boolean isReady();

    /** Returns the addresses, {@code ip:port}, that a caller in a failure domain should use. */
    List<String> callerAddresses(FailureDomainId domain);
}
