package org.fuchsiaford.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.workspace.KeyHash;
import org.fuchsiaford.workspace.WorkspaceId;

/** Tests lookups of routes, workspaces and services. */
class RoutingTableTest {
    private static final ServiceId OLD = new ServiceId("old");
    private static final ServiceId NEW = new ServiceId("new");

    private static GatewayRoute route(String name, String prefix, WeightedService... services) {
        return new GatewayRoute(
                name,
                "h",
                prefix,
                RequestKind.AT_MOST_ONCE,
                1,
                1,
                0,
                0,
                1,
                false,
                List.of(services));
    }

    private static RoutingTable table(GatewayRoute... routes) {
        WorkspaceDeclaration workspace =
                new WorkspaceDeclaration(
                        new WorkspaceId("w"),
                        List.of(KeyHash.of("key")),
                        OptionalInt.empty(),
                        new TokenQuota(0, 0, 0));
        return new RoutingTable(
                1, RequestLimits.DEFAULT, List.of(routes), List.of(), List.of(workspace));
    }

    @Example
    void longestPrefixOfTheHostWins() {
        RoutingTable table =
                table(
                        route("short", "/a/", new WeightedService(OLD, 1)),
                        route("long", "/a/b/", new WeightedService(OLD, 1)));
        assertThat(table.route("h", "/a/b/c").orElseThrow().name()).isEqualTo("long");
        assertThat(table.route("h", "/a/bc").orElseThrow().name()).isEqualTo("short");
        assertThat(table.route("h", "/b/")).isEmpty();
        assertThat(table.route("other", "/a/b/c")).isEmpty();
    }

    @Example
    void onlyAKnownKeyHasAWorkspace() {
        assertThat(table().workspaceOfKey(KeyHash.of("key"))).isPresent();
        assertThat(table().workspaceOfKey(KeyHash.of("Key"))).isEmpty();
    }

    private static WorkspaceDeclaration workspace(String id, long tokensPerSecond) {
        return new WorkspaceDeclaration(
                new WorkspaceId(id),
                List.of(),
                OptionalInt.empty(),
                new TokenQuota(tokensPerSecond, 1, 1));
    }

    /** A workspace without a limit must have neither no share nor all of it. */
    @Example
    void sharesFollowTheRateLimits() {
        RoutingTable table =
                new RoutingTable(
                        1,
                        RequestLimits.DEFAULT,
                        List.of(),
                        List.of(),
                        List.of(workspace("a", 300), workspace("b", 100), workspace("c", 0)));
        assertThat(table.weight(new WorkspaceId("a"))).isEqualTo(1.5);
        assertThat(table.weight(new WorkspaceId("b"))).isEqualTo(0.5);
        assertThat(table.weight(new WorkspaceId("c"))).isEqualTo(1);
        assertThat(table.weight(new WorkspaceId("unknown"))).isEqualTo(1);
    }

    @Property(seed = "7")
    void servicesAreDrawnByWeight(
            @ForAll @IntRange(min = 1, max = 100) int oldWeight,
            @ForAll @IntRange(min = 1, max = 100) int newWeight,
            @ForAll @DoubleRange(max = 1, maxIncluded = false) double draw) {
        GatewayRoute route =
                route(
                        "r",
                        "/",
                        new WeightedService(OLD, oldWeight),
                        new WeightedService(NEW, newWeight));
        boolean expectOld = draw * (oldWeight + newWeight) < oldWeight;
        assertThat(route.pickService(draw)).isEqualTo(expectOld ? OLD : NEW);
    }
}
