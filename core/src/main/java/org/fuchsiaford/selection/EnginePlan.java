package org.fuchsiaford.selection;

import java.util.Optional;
import org.fuchsiaford.registry.LiveServer;

/**
 * The engines selected for a model request. Immutable.
 *
 * @param decode the engine that generates the answer
 * @param prefill the engine that prefills the prompt; empty if the decode engine does so itself
 */
public record EnginePlan(LiveServer decode, Optional<LiveServer> prefill) {}
