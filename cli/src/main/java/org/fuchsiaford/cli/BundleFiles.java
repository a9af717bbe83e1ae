package org.fuchsiaford.cli;

import java.util.stream.Collectors;
import org.fuchsiaford.bundle.Bundle;
import org.fuchsiaford.bundle.BundleException;
import org.fuchsiaford.bundle.BundleReader;
import org.fuchsiaford.json.JsonProblem;

/** Reads and validates bundle files. Stateless, hence thread-safe. */
final class BundleFiles {
    private BundleFiles() {}

    /**
     * Reads a bundle file.
     *
     * @throws CommandException if the file cannot be read or the bundle is invalid
     */
    static Bundle read(String path) throws CommandException {
        String text = TextFiles.read(path);
        try {
            return new BundleReader().read(text);
        } catch (BundleException e) {
            String problems =
                    e.problems().stream()
                            .map(JsonProblem::toString)
                            .collect(Collectors.joining("\n"));
            throw new CommandException(ExitCode.INVALID, problems);
        }
    }
}
