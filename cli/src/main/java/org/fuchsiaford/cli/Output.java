package org.fuchsiaford.cli;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;

/**
 * Prints results for people or, with {@code --json}, one JSON object a line for programs. Not
 * thread-safe.
 */
public final class Output {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final PrintStream mStream;
    private final boolean mJson;

    /** Creates an output. */
    public Output(PrintStream stream, boolean json) {
        mStream = stream;
        mJson = json;
    }

    /** Returns a new object to fill. */
    public static ObjectNode newObject() {
        return MAPPER.createObjectNode();
    }

    /** Prints a result: the text for people or the object for programs. */
    public void print(String text, ObjectNode object) {
        mStream.println(mJson ? object.toString() : text);
    }
}
