package org.fuchsiaford.entry.gateway.protocol;

import java.util.Optional;
import java.util.OptionalLong;
import org.fuchsiaford.registry.EngineStage;

/**
 * The state that an engine reports; it is read before a stage order is sent, and to find out
 * whether the engine has started anew. Immutable.
 *
 * @param stage its current stage; empty if it has none
 * @param busy whether it is still carrying out an order
 * @param acceptedOrders the number of orders accepted since the engine started
 * @param startedMillis the start of its run in Unix milliseconds, if it states it
 */
public record EngineReport(
        Optional<EngineStage> stage,
        boolean busy,
        long acceptedOrders,
        OptionalLong startedMillis) {}
