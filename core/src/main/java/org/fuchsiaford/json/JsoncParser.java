package org.fuchsiaford.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Parses JSON with Java-style comments and trailing commas. Duplicate keys and content after the
 * document are errors. Stateless, hence thread-safe.
 */
public final class JsoncParser {
    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private JsoncParser() {}

    /**
     * Parses a document.
     *
     * @param text the document
     * @return the root node; a missing node if the document is empty
     * @throws JsonProcessingException if the document is malformed
     */
    public static JsonNode parse(String text) throws JsonProcessingException {
        return MAPPER.readTree(text);
    }
}
