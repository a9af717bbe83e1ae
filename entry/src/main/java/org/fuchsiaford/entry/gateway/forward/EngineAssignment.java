package org.fuchsiaford.entry.gateway.forward;

import org.fuchsiaford.selection.EnginePlan;

/**
 * The engines assigned to one attempt, with capacity reserved on the decode engine. The receiver
 * must release the reservation.
 *
 * @param plan the engines
 * @param reservation the reserved capacity on the decode engine
 * @param grantedNanos when the capacity was granted, on the monotonic clock
 */
record EngineAssignment(EnginePlan plan, Reservation reservation, long grantedNanos) {}
