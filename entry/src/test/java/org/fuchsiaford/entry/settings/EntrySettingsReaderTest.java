package org.fuchsiaford.entry.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import net.jqwik.api.Example;
import org.fuchsiaford.json.JsonProblem;

/** Tests the example settings, overrides by flags, and the reporting of all problems at once. */
class EntrySettingsReaderTest {
    private static String example() throws IOException {
        return Files.readString(Path.of("..", "examples", "entry.jsonc"));
    }

    @Example
    void readsTheExampleAndFlagsReplaceFields() throws IOException, SettingsException {
        EntrySettings settings =
                new EntrySettingsReader().read(example(), Map.of("callerAddress", "10.0.0.1:80"));
        assertThat(settings.callerAddress()).hasToString("10.0.0.1:80");
        assertThat(settings.seedPeers()).hasSize(3);
    }

    @Example
    void reportsEveryProblem() throws IOException {
        String invalid =
                example()
                        .replace("127.0.0.1:9301", "127.0.0.1")
                        .replace("\"logLevel\": \"info\"", "\"logLevel\": \"loud\"")
                        .replace("\"logJson\"", "\"logJsons\"")
                        .replace("http://127.0.0.1:9001", "127.0.0.1:9001");
        SettingsException e =
                catchThrowableOfType(
                        SettingsException.class,
                        () -> new EntrySettingsReader().read(invalid, Map.of()));
        assertThat(e.problems())
                .extracting(JsonProblem::path)
                .containsExactlyInAnyOrder(
                        "$.callerAddress", "$.logLevel", "$.logJsons", "$.storeUrls");
    }
}
