package org.fuchsiaford.entry.backend;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The result of a prefill. Immutable.
 *
 * @param transferParams the parameters with which a decode engine fetches the KV cache, as returned
 *     by the prefill engine
 * @param promptTokens the number of tokens in the prompt
 * @param cachedTokens how many of them were in the engine's prefix cache
 */
public record PrefillResult(JsonNode transferParams, int promptTokens, int cachedTokens) {}
