package org.fuchsiaford.entry.backend;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The result of a prefill. Immutable.
 *
 * @param transferParams what the decode engine needs to fetch the KV cache, as the prefill engine
 *     gave it
 * @param promptTokens the length of the prompt in tokens
 * @param cachedTokens how many of them the engine had cached
 */
public record PrefillResult(JsonNode transferParams, int promptTokens, int cachedTokens) {}
