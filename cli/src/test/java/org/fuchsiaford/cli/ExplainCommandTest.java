package org.fuchsiaford.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.Example;

/** The command {@code explain} on the logs of two hosts. */
class ExplainCommandTest {
    private static final String FIRST_HOST =
            String.join(
                    "\n",
                    line(1, "h1", "ServerSeen", "server", "s1"),
                    line(2, "h1", "ServerSeen", "server", "s9"),
                    line(4, "h1", "AttemptFailed", "request", "r1", "server", "s1"),
                    line(3, "h1", "Placed", "request", "r1", "server", "s1"),
                    "not JSON {\"at\":\"2026-01-",
                    line(5, "h1", "Ended", "request", "r1", "status", "502"),
                    line(6, "h1", "TableInForce", "version", "3"));

    private static final String SECOND_HOST =
            " 12.5 h2 " + line(2, "h2", "Ended", "request", "r2", "status", "200");

    private static String line(int second, String host, String event, String... fields) {
        StringBuilder line = new StringBuilder("{\"at\":\"2026-01-01T00:00:0" + second + "Z\"");
        line.append(",\"host\":\"" + host + "\",\"event\":\"" + event + "\"");
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line.append(",\"" + fields[i] + "\":\"" + fields[i + 1] + "\"");
        }
        return line + "}";
    }

    private static String explain(String request) throws IOException {
        Path first = Files.createTempFile("first", ".log");
        Path second = Files.createTempFile("second", ".log");
        Files.writeString(first, FIRST_HOST);
        Files.writeString(second, SECOND_HOST);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        String[] arguments = {"explain", "--request", request, "--logs", first + "," + second};
        ExitCode code = Main.run(arguments, new PrintStream(out, true, StandardCharsets.UTF_8));
        Files.delete(first);
        Files.delete(second);
        return code + "\n" + out.toString(StandardCharsets.UTF_8);
    }

    @Example
    void printsEventsInTimeOrderWithTheStateOfTheServers() throws IOException {
        String[] lines = explain("r1").split("\n");
        assertThat(lines[0]).isEqualTo("OK");
        assertThat(lines).hasSize(5);
        assertThat(lines[1]).contains("ServerSeen", "server=s1");
        assertThat(lines[2]).contains("Placed");
        assertThat(lines[3]).contains("AttemptFailed", "server=s1");
        assertThat(lines[4]).contains("Ended", "status=502");
    }

    @Example
    void ignoresPrefixesAddedByLogCollectors() throws IOException {
        assertThat(explain("r2")).contains("status=200");
    }

    @Example
    void failsIfNoLineNamesTheRequest() throws IOException {
        assertThat(explain("r3")).startsWith("FAILED");
    }
}
