package org.fuchsiaford.order;

import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;

/**
 * An order to a model engine to take another part. Immutable.
 *
 * @param engine the engine
 * @param stage the part that it shall take
 */
public record StageOrder(LiveServer engine, EngineStage stage) {}
