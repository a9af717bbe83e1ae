package org.fuchsiaford.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.StreamSupport;

/**
 * Reads the fields of one JSON object and collects every mistake with its path, so that all are
 * reported at once. After a mistake a harmless value is returned and reading goes on.
 *
 * <p>Invariant: a field that is never read is reported as unknown by {@link #reportUnknownFields}.
 * Not thread-safe.
 */
public final class JsonObjectReader {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final String PLACEHOLDER = "invalid";

    private final JsonNode mNode;
    private final String mPath;
    private final List<JsonProblem> mProblems;
    private final Set<String> mRead = new HashSet<>();

    /**
     * Starts reading an object.
     *
     * @param node the node, an object unless the document is wrong
     * @param path the JSON path of the node
     * @param problems where mistakes are added
     */
    public JsonObjectReader(JsonNode node, String path, List<JsonProblem> problems) {
        mNode = node.isObject() ? node : MissingNode.getInstance();
        mPath = path;
        mProblems = problems;
        if (!node.isObject()) {
            problems.add(new JsonProblem(path, "must be an object"));
        }
    }

    /** Returns the JSON path of this object. */
    public String path() {
        return mPath;
    }

    /** Returns whether the field is present. */
    public boolean has(String field) {
        return mNode.has(field);
    }

    /** Adds a mistake at a field of this object. */
    public void addProblem(String field, String reason) {
        mProblems.add(new JsonProblem(mPath + "." + field, reason));
    }

    /** Reads a required text. */
    public String text(String field) {
        JsonNode value = required(field);
        if (value.isTextual() && !value.textValue().isEmpty()) {
            return value.textValue();
        }
        wrong(field, value, "must be a non-empty string");
        return PLACEHOLDER;
    }

    /** Reads an optional text. */
    public String text(String field, String fallback) {
        return has(field) ? text(field) : fallback;
    }

    /** Reads a required name of an id: letters, digits, dots, dashes and underscores. */
    public String name(String field) {
        String value = text(field);
        if (!NAME.matcher(value).matches()) {
            addProblem(field, "must be 1 to 63 letters, digits, '.', '_' or '-'");
            return PLACEHOLDER;
        }
        return value;
    }

    /** Reads a required whole number within bounds, both included. */
    public long number(String field, long min, long max) {
        JsonNode value = required(field);
        if (value.isIntegralNumber()
                && value.canConvertToLong()
                && value.longValue() >= min
                && value.longValue() <= max) {
            return value.longValue();
        }
        wrong(field, value, "must be a whole number from " + min + " to " + max);
        return min;
    }

    /** Reads an optional whole number within bounds, both included. */
    public long number(String field, long min, long max, long fallback) {
        return has(field) ? number(field, min, max) : fallback;
    }

    /** Reads a required number from 0 to 1, both included. */
    public double fraction(String field) {
        JsonNode value = required(field);
        if (value.isNumber() && value.doubleValue() >= 0 && value.doubleValue() <= 1) {
            return value.doubleValue();
        }
        wrong(field, value, "must be a number from 0 to 1");
        return 0;
    }

    /** Reads an optional boolean. */
    public boolean flag(String field, boolean fallback) {
        mRead.add(field);
        JsonNode value = mNode.path(field);
        if (value.isMissingNode()) {
            return fallback;
        }
        if (!value.isBoolean()) {
            addProblem(field, "must be true or false");
        }
        return value.asBoolean(fallback);
    }

    /** Reads a required enum constant, in lower case with dashes. */
    public <E extends Enum<E>> E enumConstant(String field, Class<E> type) {
        String value = text(field);
        E[] constants = type.getEnumConstants();
        List<String> names =
                Arrays.stream(constants)
                        .map(constant -> constant.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                        .collect(Collectors.toList());
        int index = names.indexOf(value);
        if (index < 0 && !value.equals(PLACEHOLDER)) {
            addProblem(field, "must be one of " + String.join(", ", names));
        }
        return constants[Math.max(index, 0)];
    }

    /** Reads a required object. */
    public JsonObjectReader object(String field) {
        return new JsonObjectReader(required(field), mPath + "." + field, mProblems);
    }

    /** Reads a required list of objects. */
    public <T> List<T> objects(String field, Function<JsonObjectReader, T> reader) {
        JsonNode value = list(field);
        List<T> result = new ArrayList<>();
        IntStream.range(0, value.size())
                .mapToObj(i -> new JsonObjectReader(value.get(i), item(field, i), mProblems))
                .forEach(
                        object -> {
                            result.add(reader.apply(object));
                            object.reportUnknownFields();
                        });
        return List.copyOf(result);
    }

    /** Reads a required list of texts. */
    public List<String> texts(String field) {
        JsonNode value = list(field);
        IntStream.range(0, value.size())
                .filter(i -> !value.get(i).isTextual() || value.get(i).textValue().isEmpty())
                .forEach(
                        i ->
                                mProblems.add(
                                        new JsonProblem(
                                                item(field, i), "must be a non-empty string")));
        return StreamSupport.stream(value.spliterator(), false)
                .filter(JsonNode::isTextual)
                .map(JsonNode::textValue)
                .filter(text -> !text.isEmpty())
                .toList();
    }

    /** Reports every field of the object that has not been read. */
    public void reportUnknownFields() {
        mNode.fieldNames()
                .forEachRemaining(
                        name -> {
                            if (!mRead.contains(name)) {
                                addProblem(name, "unknown field");
                            }
                        });
    }

    private String item(String field, int index) {
        return mPath + "." + field + "[" + index + "]";
    }

    private JsonNode list(String field) {
        JsonNode value = required(field);
        if (!value.isArray()) {
            wrong(field, value, "must be a list");
        }
        return value.isArray() ? value : MissingNode.getInstance();
    }

    private JsonNode required(String field) {
        mRead.add(field);
        JsonNode value = mNode.path(field);
        if (value.isMissingNode() && mNode.isObject()) {
            addProblem(field, "is missing");
        }
        return value;
    }

    private void wrong(String field, JsonNode value, String reason) {
        if (!value.isMissingNode()) {
            addProblem(field, reason);
        }
    }
}
