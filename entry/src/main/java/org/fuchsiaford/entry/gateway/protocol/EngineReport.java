package org.fuchsiaford.entry.gateway.protocol;

import java.util.Optional;
import org.fuchsiaford.registry.EngineStage;

/**
 * What an engine says of itself before an order. Immutable.
 *
 * @param stage its part
 * @param busy whether it is carrying out an order
 * @param acceptedOrders the number of orders that it has accepted since its start
 */
public record EngineReport(Optional<EngineStage> stage, boolean busy, long acceptedOrders) {}
