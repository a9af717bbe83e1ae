package org.fuchsiaford.entry.docs;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import net.jqwik.api.Example;

/** Checks that every test named in docs/FAULTS.md exists. */
class FaultMatrixTest {
    private static final Path ROOT = Path.of("..");
    private static final Pattern TEST_NAME = Pattern.compile("`(\\w+(?:Test|IT))\\.(\\w+)`");

    @Example
    void everyNamedTestExists() throws IOException {
        String document = Files.readString(ROOT.resolve("docs/FAULTS.md"));
        List<MatchResult> names = TEST_NAME.matcher(document).results().toList();
        assertThat(names).hasSizeGreaterThan(20);
        assertThat(names)
                .allSatisfy(
                        testName ->
                                assertThat(readSource(testName.group(1)))
                                        .contains("void " + testName.group(2) + "("));
    }

    private static String readSource(String testClass) {
        try (Stream<Path> files = Files.walk(ROOT)) {
            Path file =
                    files.filter(path -> path.endsWith(testClass + ".java"))
                            .filter(path -> !path.toString().contains("/target/"))
                            .findFirst()
                            .orElseThrow(() -> new AssertionError("no class " + testClass));
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
