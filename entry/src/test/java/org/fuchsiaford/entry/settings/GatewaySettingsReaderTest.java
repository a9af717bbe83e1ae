package org.fuchsiaford.entry.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.Example;
import org.fuchsiaford.entry.gateway.GatewaySettings;
import org.fuchsiaford.entry.gateway.GatewaySettingsReader;

/**
 * Tests the settings of a host that follows a live registry, as rendered from the template of the
 * deploy file.
 */
class GatewaySettingsReaderTest {
    private static String renderedTemplate() throws IOException {
        return Files.readString(Path.of("..", "deploy", "host.jsonc"))
                .replace("{{nodeName|json}}", "\"edge-1\"")
                .replace("{{zone|json}}", "\"z1\"")
                .replaceAll("\\{\\{listen\\.(\\w+)\\|json}}", "\"10.0.0.1:80\"")
                .replace("{{ip}}:{{internalPorts.0}}", "10.0.0.1:7600")
                .replace("{{seeds|json}}", "[\"10.0.0.2:90\"]")
                .replace("{{platform.address|json}}", "\"10.0.0.9:1\"")
                .replace("{{limits.cpuShare|json}}", "0.75")
                .replace("{{limits.cores|json}}", "2")
                .replace("{{bounds.graceS|json}}", "8")
                .replace("{{bounds.budgetWindowS|json}}", "10")
                .replace("{{bounds.budgetRatio|json}}", "0.2")
                .replace("{{bounds.budgetSlack|json}}", "52")
                .replaceAll("\\{\\{[#/]bounds.quotaWindowS}}", "")
                .replace("{{bounds.quotaWindowS|json}}", "8");
    }

    @Example
    void theTemplateIsCompleteAndCorrect() throws IOException, SettingsException {
        assertThat(renderedTemplate()).doesNotContain("{{");
        GatewaySettings settings = new GatewaySettingsReader().read(renderedTemplate());
        assertThat(settings.adapter()).isEqualTo("platform");
        assertThat(settings.graceMillis()).isEqualTo(8_000);
        assertThat(settings.retryRatio()).isEqualTo(0.2);
        assertThat(settings.cores()).isEqualTo(1.5);
        assertThat(settings.limitWindowMillis()).isEqualTo(8_000);
        assertThat(settings.seedPeers()).hasSize(1);
        assertThat(GatewaySettingsReader.isFor(renderedTemplate())).isTrue();
    }

    @Example
    void theSizeOfResponsesMayBeLimited() throws IOException, SettingsException {
        GatewaySettingsReader reader = new GatewaySettingsReader();
        assertThat(reader.read(renderedTemplate()).maxResponseBytes()).isEqualTo(4 * 1024 * 1024);
        String limit = "\"orderLeaseSeconds\": 3, \"maxResponseBytes\": ";
        assertThat(reader.read(withOrderLease(limit + "65536")).maxResponseBytes())
                .isEqualTo(65_536);
        assertThatThrownBy(() -> reader.read(withOrderLease(limit + "0")))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining("maxResponseBytes");
    }

    @Example
    void theTemplateAsksForThePaceOfServersAndItIsOffWhereNoneIsStated()
            throws IOException, SettingsException {
        GatewaySettingsReader reader = new GatewaySettingsReader();
        String pace = "\"serverPace\": true";
        assertThat(reader.read(renderedTemplate()).serverPace()).isTrue();
        String unstated = renderedTemplate().replace(pace, "\"maxResponseBytes\": 65536");
        assertThat(reader.read(unstated).serverPace()).isFalse();
        assertThatThrownBy(() -> reader.read(renderedTemplate().replace(pace, "\"serverPace\": 1")))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining("serverPace");
    }

    private static String withOrderLease(String replacement) throws IOException {
        return renderedTemplate().replace("\"orderLeaseSeconds\": 3", replacement);
    }

    @Example
    void boundsMayBeFractions() throws IOException, SettingsException {
        String fractions =
                renderedTemplate()
                        .replace("\"graceSeconds\": 8", "\"graceSeconds\": 7.5")
                        .replace("\"retryWindowSeconds\": 10", "\"retryWindowSeconds\": 9.25")
                        .replace("\"retrySlack\": 52", "\"retrySlack\": 43.7");
        GatewaySettings settings = new GatewaySettingsReader().read(fractions);
        assertThat(settings.graceMillis()).isEqualTo(7_500);
        assertThat(settings.retryWindowMillis()).isEqualTo(9_250);
        assertThat(settings.retrySlack()).isEqualTo(43.7);
    }

    @Example
    void everyProblemIsReportedWithItsPath() throws IOException {
        String invalid =
                renderedTemplate()
                        .replace("\"10.0.0.9:1\"", "\"10.0.0.9\"")
                        .replace("0.2", "2")
                        .replace("\"hostName\"", "\"hostname\"");
        assertThatThrownBy(() -> new GatewaySettingsReader().read(invalid))
                .isInstanceOfSatisfying(
                        SettingsException.class,
                        e ->
                                assertThat(e.problems().toString())
                                        .contains(
                                                "$.storeAddress",
                                                "$.retryRatio",
                                                "$.hostName: is missing",
                                                "$.hostname: unknown field"));
    }
}
