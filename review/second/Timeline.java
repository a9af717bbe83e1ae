import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/**
 * Writes the record of a case: what was sent, answered and run, with the seconds since the start of
 * the traffic. Thread-safe.
 */
final class Timeline implements AutoCloseable {
    private final PrintWriter mWriter;
    private volatile long mStartNanos = System.nanoTime();

    Timeline(Path file) {
        try {
            mWriter = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Counts the seconds from now on. */
    void restart() {
        mStartNanos = System.nanoTime();
    }

    /** Returns the seconds since the start. */
    double seconds() {
        return (System.nanoTime() - mStartNanos) / 1e9;
    }

    /** Writes a line. */
    synchronized void write(String format, Object... values) {
        mWriter.printf(Locale.ROOT, "%8.3f  ", seconds());
        mWriter.println(String.format(Locale.ROOT, format, values));
        mWriter.flush();
    }

    /** Writes a line to the record and to the standard output. */
    void say(String format, Object... values) {
        write(format, values);
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    @Override
    public void close() {
        mWriter.close();
    }
}
