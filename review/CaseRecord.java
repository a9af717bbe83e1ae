package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with seconds since the start. Thread-safe. */
final class CaseRecord {
    private final long mStartNanos = System.nanoTime();
    private final PrintWriter mOut;

    CaseRecord(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    double seconds() {
        return (System.nanoTime() - mStartNanos) / 1e9;
    }

    synchronized void line(String format, Object... arguments) {
        String text = String.format(Locale.ROOT, format, arguments);
        mOut.printf(Locale.ROOT, "%8.3f  %s%n", seconds(), text);
        mOut.flush();
    }

    /** Ends the record; later lines are dropped. */
    synchronized void close() {
        mOut.close();
    }
}
