package org.fuchsiaford.placement;

import java.util.List;
import org.fuchsiaford.request.RequestId;

/**
 * Assigns the requests of one pool to its engines, or refuses them. A policy does no I/O and reads
 * no clock; the caller passes in the time and carries out the decisions.
 *
 * <p>Implementations are not thread-safe unless they say so.
 */
public interface PlacementPolicy {
    /** Submits a request; {@link #decide} returns its decision. */
    void submit(PlacementRequest request, long nowNanos);

    /** Withdraws a request that has no decision yet. */
    void withdraw(RequestId request, long nowNanos);

    /** Records a progress event of a placed request. */
    void recordEvent(PlacementEvent event, long nowNanos);

    /** Applies a load report of an engine. */
    void updateLoad(EngineLoad load, long nowNanos);

    /**
     * Replaces the model and the set of engines. Engines that stay keep their state. Removed
     * engines get no new requests, but the requests already placed on them continue.
     */
    void reconfigure(ModelSpec model, List<EngineSpec> engines);

    /** Returns the decisions that are due, in the order in which they were made. */
    List<PlacementDecision> decide(long nowNanos);
}
