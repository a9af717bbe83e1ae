package org.fuchsiaford.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.StreamSupport;

/**
 * Reads and validates the fields of one JSON object. Problems are collected with their paths
 * instead of thrown, so that all of them can be reported at once; the method that meets a problem
 * returns a placeholder value, and the caller must discard the result if there is any problem.
 *
 * <p>Invariant: {@link #reportUnknownFields} reports every field that has not been read. Not
 * thread-safe.
 */
public final class JsonObjectReader {
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final String PLACEHOLDER = "invalid";

    private final JsonNode mNode;
    private final String mPath;
    private final List<JsonProblem> mProblems;
    private final Set<String> mReadFields = new HashSet<>();

    /**
     * Creates a reader.
     *
     * @param node the node to read; a problem is added unless it is an object
     * @param path the JSON path of the node
     * @param problems the list to which problems are added
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

    /** Adds a problem at a field of this object. */
    public void addProblem(String field, String reason) {
        mProblems.add(new JsonProblem(mPath + "." + field, reason));
    }

    /** Reads a required non-empty string. */
    public String text(String field) {
        JsonNode value = required(field);
        if (value.isTextual() && !value.textValue().isEmpty()) {
            return value.textValue();
        }
        addProblemIfPresent(field, value, "must be a non-empty string");
        return PLACEHOLDER;
    }

    /** Reads an optional non-empty string; an absent field yields the default value. */
    public String text(String field, String defaultValue) {
        return has(field) ? text(field) : defaultValue;
    }

    /**
     * Reads a required name: 1 to 63 letters, digits, dots, dashes and underscores, starting with a
     * letter or digit.
     */
    public String name(String field) {
        String value = text(field);
        if (!NAME_PATTERN.matcher(value).matches()) {
            addProblem(
                    field,
                    "must be 1 to 63 letters, digits, '.', '_' or '-', starting with a letter or"
                            + " digit");
            return PLACEHOLDER;
        }
        return value;
    }

    /** Reads a required integer from min to max, inclusive. */
    public long number(String field, long min, long max) {
        JsonNode value = required(field);
        if (value.isIntegralNumber()
                && value.canConvertToLong()
                && value.longValue() >= min
                && value.longValue() <= max) {
            return value.longValue();
        }
        addProblemIfPresent(field, value, "must be a whole number from " + min + " to " + max);
        return min;
    }

    /** Reads an optional integer from min to max, inclusive. */
    public long number(String field, long min, long max, long defaultValue) {
        return has(field) ? number(field, min, max) : defaultValue;
    }

    /** Reads a required number from 0 to 1, inclusive. */
    public double fraction(String field) {
        return decimal(field, 0, 1);
    }

    /** Reads a required number, whole or not, from min to max, inclusive. */
    public double decimal(String field, double min, double max) {
        JsonNode value = required(field);
        if (value.isNumber() && value.doubleValue() >= min && value.doubleValue() <= max) {
            return value.doubleValue();
        }
        addProblemIfPresent(
                field, value, "must be a number from " + shortest(min) + " to " + shortest(max));
        return min;
    }

    private static String shortest(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }

    /** Reads an optional boolean. */
    public boolean flag(String field, boolean defaultValue) {
        mReadFields.add(field);
        JsonNode value = mNode.path(field);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isBoolean()) {
            addProblem(field, "must be true or false");
        }
        return value.asBoolean(defaultValue);
    }

    /** Reads a required enum constant, written in lower case with dashes for underscores. */
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

    /** Reads a required array of objects and reports the unknown fields of each. */
    public <T> List<T> objects(String field, Function<JsonObjectReader, T> reader) {
        JsonNode value = array(field);
        List<T> result = new ArrayList<>();
        IntStream.range(0, value.size())
                .mapToObj(i -> new JsonObjectReader(value.get(i), elementPath(field, i), mProblems))
                .forEach(
                        element -> {
                            result.add(reader.apply(element));
                            element.reportUnknownFields();
                        });
        return List.copyOf(result);
    }

    /** Reads a required array of non-empty strings; others are reported and left out. */
    public List<String> texts(String field) {
        JsonNode value = array(field);
        IntStream.range(0, value.size())
                .filter(i -> !value.get(i).isTextual() || value.get(i).textValue().isEmpty())
                .forEach(
                        i ->
                                mProblems.add(
                                        new JsonProblem(
                                                elementPath(field, i),
                                                "must be a non-empty string")));
        return StreamSupport.stream(value.spliterator(), false)
                .filter(JsonNode::isTextual)
                .map(JsonNode::textValue)
                .filter(text -> !text.isEmpty())
                .toList();
    }

    /**
     * Reads a required object of which any field is a non-empty string; others are reported and
     * left out.
     */
    public Map<String, String> textFields(String field) {
        JsonObjectReader object = object(field);
        Map<String, String> result = new LinkedHashMap<>();
        object.mNode
                .fieldNames()
                .forEachRemaining(
                        name -> {
                            JsonNode value = object.mNode.path(name);
                            if (name.isEmpty()
                                    || !value.isTextual()
                                    || value.textValue().isEmpty()) {
                                object.addProblem(name, "must be a non-empty string with a name");
                            } else {
                                result.put(name, value.textValue());
                            }
                        });
        return result;
    }

    /** Adds a problem for every field that has not been read. */
    public void reportUnknownFields() {
        mNode.fieldNames()
                .forEachRemaining(
                        name -> {
                            if (!mReadFields.contains(name)) {
                                addProblem(name, "unknown field");
                            }
                        });
    }

    private String elementPath(String field, int index) {
        return mPath + "." + field + "[" + index + "]";
    }

    private JsonNode array(String field) {
        JsonNode value = required(field);
        if (!value.isArray()) {
            addProblemIfPresent(field, value, "must be a list");
        }
        return value.isArray() ? value : MissingNode.getInstance();
    }

    private JsonNode required(String field) {
        mReadFields.add(field);
        JsonNode value = mNode.path(field);
        if (value.isMissingNode() && mNode.isObject()) {
            addProblem(field, "is missing");
        }
        return value;
    }

    /** Adds a problem unless the field is absent, which {@link #required} has reported. */
    private void addProblemIfPresent(String field, JsonNode value, String reason) {
        if (!value.isMissingNode()) {
            addProblem(field, reason);
        }
    }
}
