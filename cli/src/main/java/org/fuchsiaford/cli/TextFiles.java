package org.fuchsiaford.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads and writes text files. Stateless, hence thread-safe. */
final class TextFiles {
    private TextFiles() {}

    static String read(String path) throws CommandException {
        try {
            return Files.readString(Path.of(path));
        } catch (IOException e) {
            throw new CommandException(ExitCode.FAILED, "cannot read " + path);
        }
    }

    static void write(String path, String text) throws CommandException {
        try {
            Files.writeString(Path.of(path), text);
        } catch (IOException e) {
            throw new CommandException(ExitCode.FAILED, "cannot write " + path);
        }
    }
}
