package org.fuchsiaford.selection;

import java.util.Optional;
import org.fuchsiaford.registry.LiveServer;

/**
 * Where a model request runs. Immutable.
 *
 * @param decode the engine that answers
 * @param prefill the engine that reads the prompt first; none if the decode engine reads it itself
 */
public record EnginePlan(LiveServer decode, Optional<LiveServer> prefill) {}
