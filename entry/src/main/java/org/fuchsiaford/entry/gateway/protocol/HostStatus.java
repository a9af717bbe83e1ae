package org.fuchsiaford.entry.gateway.protocol;

import java.util.List;
import org.fuchsiaford.bundle.FailureDomainId;

/** What an entry host says of itself and the others to those outside. Thread-safe. */
public interface HostStatus {
    /** Returns whether the host takes new callers. */
    boolean isReady();

    /** Returns the addresses that a caller in a failure domain should use, {@code ip:port}. */
    List<String> callerAddresses(FailureDomainId domain);
}
