package org.fuchsiaford.json;

/**
 * One mistake in a JSON document. Immutable.
 *
 * @param path the JSON path of the mistake, such as {@code $.models[0].id}
 * @param reason what is wrong there
 */
public record JsonProblem(String path, String reason) {
    @Override
    public String toString() {
        return path + ": " + reason;
    }
}
