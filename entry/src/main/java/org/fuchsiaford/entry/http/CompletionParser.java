package org.fuchsiaford.entry.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.fuchsiaford.backend.ModelId;
import org.fuchsiaford.bundle.BundleIndex;
import org.fuchsiaford.bundle.Model;
import org.fuchsiaford.bundle.Workspace;
import org.fuchsiaford.entry.model.ModelRequest;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.request.RequestId;

/** Parses and validates completion requests. Stateless, hence thread-safe. */
final class CompletionParser {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final int DEFAULT_MAX_TOKENS = 16;

    /** The fields that the router sets in requests to engines. */
    private static final List<String> ROUTER_FIELDS =
            List.of("prompt", "max_tokens", "stream", "stream_options", "kv_transfer_params");

    private CompletionParser() {}

    static ModelRequest parse(RequestId id, byte[] body, BundleIndex index, Workspace workspace)
            throws RefusalException {
        ObjectNode fields = parseObject(body);
        Model model = model(fields, index, workspace);
        String prompt = prompt(fields.path("prompt"));
        int maxTokens = maxTokens(fields.path("max_tokens"));
        if (fields.path("n").asInt(1) != 1) {
            throw malformed("n must be 1");
        }
        boolean stream = fields.path("stream").asBoolean(false);
        ModelRequest request =
                new ModelRequest(
                        id,
                        model,
                        prompt,
                        maxTokens,
                        stream,
                        fields.deepCopy().without(ROUTER_FIELDS));
        if (request.maxCostTokens() > model.maxContextTokens()) {
            throw malformed(
                    "prompt and max_tokens exceed the context length of the model, "
                            + model.maxContextTokens()
                            + " tokens");
        }
        return request;
    }

    private static ObjectNode parseObject(byte[] body) throws RefusalException {
        try {
            if (MAPPER.readTree(body) instanceof ObjectNode object) {
                return object;
            }
        } catch (IOException e) {
            throw malformed("the body is not JSON");
        }
        throw malformed("the body is not a JSON object");
    }

    private static Model model(ObjectNode fields, BundleIndex index, Workspace workspace)
            throws RefusalException {
        JsonNode name = fields.path("model");
        if (!name.isTextual() || name.textValue().isEmpty()) {
            throw malformed("model must be a string");
        }
        ModelId id = new ModelId(name.textValue());
        Optional<Model> model = index.model(id).filter(m -> workspace.models().contains(id));
        return model.orElseThrow(
                () ->
                        RefusalException.notRun(
                                RefusalReason.NOT_FOUND,
                                Step.ADMIT,
                                "the workspace has no model of this name"));
    }

    private static String prompt(JsonNode prompt) throws RefusalException {
        JsonNode text = prompt.isArray() && prompt.size() == 1 ? prompt.get(0) : prompt;
        if (!text.isTextual() || text.textValue().isEmpty()) {
            throw malformed("prompt must be one non-empty string");
        }
        return text.textValue();
    }

    private static int maxTokens(JsonNode maxTokens) throws RefusalException {
        if (maxTokens.isMissingNode() || maxTokens.isNull()) {
            return DEFAULT_MAX_TOKENS;
        }
        if (!maxTokens.canConvertToInt() || !maxTokens.isInt() || maxTokens.intValue() < 1) {
            throw malformed("max_tokens must be a positive integer");
        }
        return maxTokens.intValue();
    }

    private static RefusalException malformed(String message) {
        return RefusalException.notRun(RefusalReason.MALFORMED, Step.ADMIT, message);
    }
}
