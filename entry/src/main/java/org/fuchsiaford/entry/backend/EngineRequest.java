package org.fuchsiaford.entry.backend;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsiaford.request.RequestId;

/**
 * A model request as it is sent to an engine. Immutable; nobody changes the fields' object.
 *
 * @param request the request
 * @param fields the caller's fields, without those that the router sets
 * @param prompt the prompt, with the part of the answer that the caller already has
 * @param maxTokens how many tokens are still wanted
 */
public record EngineRequest(RequestId request, ObjectNode fields, String prompt, int maxTokens) {}
