package org.fuchsiaford.entry.model;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsiaford.bundle.Model;
import org.fuchsiaford.request.RequestId;

/**
 * A model request as a caller sent it. Immutable; nobody changes the fields' object.
 *
 * @param id the request
 * @param model the model
 * @param prompt the prompt
 * @param maxTokens the most tokens to generate
 * @param stream whether the caller wants the answer as it is made
 * @param fields the other fields, passed on to engines
 */
public record ModelRequest(
        RequestId id,
        Model model,
        String prompt,
        int maxTokens,
        boolean stream,
        ObjectNode fields) {

    /** Returns an upper bound of the prompt's length in tokens. */
    public int promptTokensUpperBound() {
        return tokensUpperBound(prompt);
    }

    /** Returns an upper bound of a text's length in tokens. */
    public int tokensUpperBound(String text) {
        int bytes = text.getBytes(java.nio.charset.StandardCharsets.UTF_8).length;
        return (bytes + model.minBytesPerToken() - 1) / model.minBytesPerToken();
    }

    /** Returns the most that the request may cost, in tokens. */
    public long maxCostTokens() {
        return (long) promptTokensUpperBound() + maxTokens;
    }
}
