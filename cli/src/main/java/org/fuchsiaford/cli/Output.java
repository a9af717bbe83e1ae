package org.fuchsiaford.cli;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;

/** Prints results as text or, with {@code --json}, as one JSON object per line. Not thread-safe. */
public final class Output {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final PrintStream mStream;
    private final boolean mJson;

    /**
     * Creates an output.
     *
     * @param json whether to print JSON instead of text
     */
    public Output(PrintStream stream, boolean json) {
        mStream = stream;
        mJson = json;
    }

    /** Returns an empty JSON object. */
    public static ObjectNode newObject() {
        return MAPPER.createObjectNode();
    }

    /** Prints a result, either as text or as a JSON object. */
    public void print(String text, ObjectNode object) {
        mStream.println(mJson ? object.toString() : text);
    }
}
