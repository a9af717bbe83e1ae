package org.fuchsiaford.placement;

import java.util.List;
import org.fuchsiaford.request.RequestId;

/**
 * Decides which engines of one pool serve which requests, and which requests are refused. A policy
 * does no I/O and reads no clock; whoever drives it passes in the time and carries out decisions.
 *
 * <p>Implementations are not thread-safe unless they say so.
 */
public interface PlacementPolicy {
    /** Takes a request in; its decision comes from {@link #decide}. */
    void submit(PlacementRequest request, long nowNanos);

    /** Forgets a request that has no decision yet. */
    void withdraw(RequestId request, long nowNanos);

    /** Takes note of how a placed request goes on. */
    void recordEvent(PlacementEvent event, long nowNanos);

    /** Takes note of an engine's load. */
    void updateLoad(EngineLoad load, long nowNanos);

    /**
     * Takes other engines over. Engines that stay keep their state; those that are gone get nothing
     * new, and what was placed on them goes on.
     */
    void reconfigure(ModelSpec model, List<EngineSpec> engines);

    /** Returns the decisions that are due, in order. */
    List<PlacementDecision> decide(long nowNanos);
}
