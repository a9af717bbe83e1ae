package org.fuchsiaford.order;

import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;

/**
 * An order to a model engine to switch to another stage. Immutable.
 *
 * @param engine the engine
 * @param stage the stage to switch to
 */
public record StageOrder(LiveServer engine, EngineStage stage) {}
