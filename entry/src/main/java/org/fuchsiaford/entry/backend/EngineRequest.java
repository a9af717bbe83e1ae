package org.fuchsiaford.entry.backend;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsiaford.request.RequestId;

/**
 * A model request as sent to an engine. Immutable; {@code fields} must not be modified.
 *
 * @param id the ID of the request
 * @param fields the fields of the client's request, except those that the router sets
 * @param prompt the prompt, followed by the output already delivered to the client
 * @param maxTokens the maximum number of further tokens to generate
 */
public record EngineRequest(RequestId id, ObjectNode fields, String prompt, int maxTokens) {}
