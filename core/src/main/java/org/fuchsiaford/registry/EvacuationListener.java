package org.fuchsiaford.registry;

import org.fuchsiaford.bundle.FailureDomainId;

/** Is told of the end of evacuations. Implementations are thread-safe and do not block. */
@FunctionalInterface
public interface EvacuationListener {
    /**
     * Called immediately before the servers of a failure domain are used again. They have been idle
     * and may be cold.
     */
    void evacuationEnds(FailureDomainId domain);
}
