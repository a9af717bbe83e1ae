package org.fuchsiaford.entry.gateway.forward;

import org.fuchsiaford.selection.EnginePlan;

/**
 * Engines for one attempt, with room reserved at the decode engine. Whoever gets it releases it.
 *
 * @param plan the engines
 * @param reservation the reservation
 * @param grantedNanos when it was granted
 */
record EngineAssignment(EnginePlan plan, Reservation reservation, long grantedNanos) {}
