package org.fuchsiaford.entry.model;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsiaford.bundle.Model;
import org.fuchsiaford.request.RequestId;

/**
 * A model request as received from a client. Immutable; {@code fields} must not be modified.
 *
 * @param id the ID of the request
 * @param model the model
 * @param prompt the prompt
 * @param maxTokens the maximum number of tokens to generate
 * @param stream whether the client requested a streamed response
 * @param fields the other fields of the request, forwarded to engines
 */
public record ModelRequest(
        RequestId id,
        Model model,
        String prompt,
        int maxTokens,
        boolean stream,
        ObjectNode fields) {

    /** Returns an upper bound on the number of tokens in the prompt. */
    public int promptTokensUpperBound() {
        return tokensUpperBound(prompt);
    }

    /** Returns an upper bound on the number of tokens in a text. */
    public int tokensUpperBound(String text) {
        int bytes = text.getBytes(java.nio.charset.StandardCharsets.UTF_8).length;
        return (bytes + model.minBytesPerToken() - 1) / model.minBytesPerToken();
    }

    /**
     * Returns the maximum cost in tokens: the upper bound of the prompt plus the maximum output.
     */
    public long maxCostTokens() {
        return (long) promptTokensUpperBound() + maxTokens;
    }
}
