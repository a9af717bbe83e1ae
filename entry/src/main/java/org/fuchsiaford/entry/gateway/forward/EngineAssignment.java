package org.fuchsiaford.entry.gateway.forward;

import org.fuchsiaford.selection.EnginePlan;

/**
 * The engines assigned to one attempt, with capacity reserved on them. The receiver must release
 * the hold.
 *
 * @param plan the engines
 * @param hold the reserved capacity
 * @param grantedNanos when the capacity was granted, on the monotonic clock
 */
record EngineAssignment(EnginePlan plan, EngineHold hold, long grantedNanos) {}
