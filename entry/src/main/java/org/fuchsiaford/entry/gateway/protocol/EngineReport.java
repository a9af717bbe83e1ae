package org.fuchsiaford.entry.gateway.protocol;

import java.util.Optional;
import org.fuchsiaford.registry.EngineStage;

/**
 * The state that an engine reports; it is read before a stage order is sent. Immutable.
 *
 * @param stage its current stage; empty if it has none
 * @param busy whether it is still carrying out an order
 * @param acceptedOrders the number of orders accepted since the engine started
 */
public record EngineReport(Optional<EngineStage> stage, boolean busy, long acceptedOrders) {}
