package org.fuchsiaford.json;

/**
 * A validation error in a JSON document. Immutable.
 *
 * @param path the JSON path of the error, such as {@code $.models[0].id}
 * @param reason the description of the error
 */
public record JsonProblem(String path, String reason) {
    @Override
    public String toString() {
        return path + ": " + reason;
    }
}
