package org.fuchsiaford.entry.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.Example;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.bundle.RegionId;
import org.fuchsiaford.entry.gateway.GatewaySettings;
import org.fuchsiaford.entry.gateway.GatewaySettingsReader;
import org.fuchsiaford.entry.gateway.MemorySettings;

/**
 * Tests the settings of a host that follows a live registry, as rendered from the template of the
 * deploy file.
 */
class GatewaySettingsReaderTest {
    private static String renderedTemplate() throws IOException {
        return Files.readString(Path.of("..", "deploy", "host.jsonc"))
                .replace("{{nodeName|json}}", "\"edge-1\"")
                .replace("{{zone|json}}", "\"z1\"")
                .replace("{{region|json}}", "\"r1\"")
                .replace("{{zones|json}}", "{\"z1\":\"r1\",\"z2\":\"r2\"}")
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
        assertThat(settings.region()).contains(new RegionId("r1"));
        assertThat(settings.regions().regionOf(new FailureDomainId("z2")))
                .contains(new RegionId("r2"));
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

    private static String withRegions(String region, String domains) throws IOException {
        return renderedTemplate()
                .replace("\"r1\",\n", region + ",\n")
                .replace("{\"z1\":\"r1\",\"z2\":\"r2\"}", domains);
    }

    /** Guards against settings by which a server may be taken for one in another region. */
    @Example
    void regionsThatContradictEachOtherOrAreNoNamesAreRejected()
            throws IOException, SettingsException {
        GatewaySettingsReader reader = new GatewaySettingsReader();
        assertThat(reader.read(withRegions("\"r1\"", "{}")).regions().regions())
                .containsOnlyKeys(new FailureDomainId("z1"));
        for (String text :
                new String[] {
                    withRegions("\"r2\"", "{\"z1\":\"r1\"}"),
                    withRegions("\"\"", "{}"),
                    withRegions("\"r1\"", "{\"z1\":\"\"}"),
                    withRegions("\"r1\"", "{\"z1\":3}"),
                    withRegions("\"r1\"", "[]")
                }) {
            assertThatThrownBy(() -> reader.read(text))
                    .isInstanceOf(SettingsException.class)
                    .hasMessageContaining("egion");
        }
    }

    /** Guards against settings files of former builds that are no longer accepted. */
    @Example
    void withoutRegionsNothingIsBound() throws IOException, SettingsException {
        String without =
                renderedTemplate()
                        .replaceAll("\"region\": .*\n", "")
                        .replaceAll("\"failureDomainRegions\": .*\n", "");
        GatewaySettings settings = new GatewaySettingsReader().read(without);
        assertThat(settings.region()).isEmpty();
        assertThat(settings.regions().isBinding()).isFalse();
    }

    /** Guards against limits of memory that are misread, or that no host can work with. */
    @Example
    void theMemoryMayBeLimited() throws IOException, SettingsException {
        GatewaySettingsReader reader = new GatewaySettingsReader();
        assertThat(reader.read(renderedTemplate()).memory()).isEqualTo(MemorySettings.defaults());
        String limits =
                "\"orderLeaseSeconds\": 3, \"maxHeldBytes\": %d, \"maxCallerConnections\": %d,"
                        + " \"maxServerBytes\": %d";
        assertThat(reader.read(withOrderLease(limits.formatted(20_000_000, 300, 5_000))).memory())
                .isEqualTo(new MemorySettings(20_000_000, 300, 5_000));
        assertThatThrownBy(() -> reader.read(withOrderLease(limits.formatted(1_000, 0, 0))))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining("maxHeldBytes")
                .hasMessageContaining("maxCallerConnections")
                .hasMessageContaining("maxServerBytes");
    }

    /** Deployments that do not ask for it are served as before. */
    @Example
    void seatsAreSharedOnlyIfTheSettingsSaySo() throws IOException, SettingsException {
        GatewaySettingsReader reader = new GatewaySettingsReader();
        assertThat(reader.read(renderedTemplate()).sharedSeats()).isTrue();
        String without = renderedTemplate().replace("\"sharedSeats\": true,", "");
        assertThat(reader.read(without).sharedSeats()).isFalse();
        assertThatThrownBy(() -> reader.read(renderedTemplate().replace("s\": true", "s\": 1")))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining("sharedSeats");
    }

    /** Guards against deployments that get another split of their engines without asking for it. */
    @Example
    void theMeasuredStageSplitIsOffUnlessStated() throws IOException, SettingsException {
        GatewaySettingsReader reader = new GatewaySettingsReader();
        assertThat(reader.read(renderedTemplate()).measuredStageSplit()).isFalse();
        String without = renderedTemplate().replace("\"measuredStageSplit\": false,", "");
        assertThat(reader.read(without).measuredStageSplit()).isFalse();
        String stated = renderedTemplate().replace("Split\": false", "Split\": true");
        assertThat(reader.read(stated).measuredStageSplit()).isTrue();
        String wrong = renderedTemplate().replace("Split\": false", "Split\": 1");
        assertThatThrownBy(() -> reader.read(wrong))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining("measuredStageSplit");
    }

    /** Guards against deployments whose requests wait in another order without asking for it. */
    @Example
    void sharesOfEnginesAreOffUnlessStated() throws IOException, SettingsException {
        GatewaySettingsReader reader = new GatewaySettingsReader();
        String without = renderedTemplate().replace("\"fairQueue\": true,", "");
        assertThat(reader.read(without).fairQueue()).isFalse();
        String fair = "\"orderLeaseSeconds\": 3, \"fairQueue\": ";
        String stated = without.replace("\"orderLeaseSeconds\": 3", fair + "true");
        assertThat(reader.read(stated).fairQueue()).isTrue();
        assertThatThrownBy(() -> reader.read(stated.replace("fairQueue\": true", "fairQueue\": 1")))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining("fairQueue");
    }

    /** Guards against deployments whose servers get a pace without asking for it. */
    @Example
    void thePaceOfServersIsOffUnlessStated() throws IOException, SettingsException {
        GatewaySettingsReader reader = new GatewaySettingsReader();
        String pace = "\"serverPace\": false";
        assertThat(reader.read(renderedTemplate()).serverPace()).isFalse();
        String stated = renderedTemplate().replace(pace, "\"serverPace\": true");
        assertThat(reader.read(stated).serverPace()).isTrue();
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
