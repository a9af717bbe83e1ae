package org.fuchsiaford.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.workspace.KeyHash;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * One version of the operators' routing declaration, indexed for lookups.
 *
 * <p>Invariant: every service of a route is declared. Immutable, hence thread-safe.
 */
public final class RoutingTable {
    private final long mVersion;
    private final RequestLimits mLimits;
    private final Map<String, List<GatewayRoute>> mRoutesByVirtualHost;
    private final Map<ServiceId, ServiceDeclaration> mServices;
    private final Map<KeyHash, WorkspaceDeclaration> mWorkspacesByKey;
    private final Map<WorkspaceId, WorkspaceDeclaration> mWorkspaces;
    private final double mMeanTokensPerSecond;

    /**
     * Creates a table.
     *
     * @param version the version number that the operators assigned; increases with each
     *     declaration
     * @param limits the limits on requests
     */
    public RoutingTable(
            long version,
            RequestLimits limits,
            List<GatewayRoute> routes,
            List<ServiceDeclaration> services,
            List<WorkspaceDeclaration> workspaces) {
        mVersion = version;
        mLimits = limits;
        mServices = byId(services, ServiceDeclaration::id);
        mWorkspaces = byId(workspaces, WorkspaceDeclaration::id);
        mMeanTokensPerSecond =
                workspaces.stream()
                        .filter(workspace -> workspace.quota().isLimited())
                        .mapToLong(workspace -> workspace.quota().tokensPerSecond())
                        .average()
                        .orElse(1);
        mRoutesByVirtualHost =
                routes.stream()
                        .sorted(longestPrefixFirst())
                        .collect(Collectors.groupingBy(GatewayRoute::virtualHost));
        mWorkspacesByKey =
                workspaces.stream()
                        .flatMap(w -> w.keys().stream().map(key -> Map.entry(key, w)))
                        .collect(
                                Collectors.toMap(
                                        Map.Entry::getKey, Map.Entry::getValue, (a, b) -> a));
    }

    private static <K, V> Map<K, V> byId(List<V> values, Function<V, K> id) {
        return values.stream().collect(Collectors.toMap(id, Function.identity(), (a, b) -> a));
    }

    private static Comparator<GatewayRoute> longestPrefixFirst() {
        return Comparator.comparingInt((GatewayRoute route) -> -route.pathPrefix().length());
    }

    /** Returns the version number of this declaration. */
    public long version() {
        return mVersion;
    }

    /** Returns the limits on the requests that clients may send. */
    public RequestLimits limits() {
        return mLimits;
    }

    /** Returns the route of a virtual host with the longest prefix that matches the path. */
    public Optional<GatewayRoute> route(String virtualHost, String path) {
        return mRoutesByVirtualHost.getOrDefault(virtualHost, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /** Returns the longest timeout of a response on any route, in milliseconds. */
    public long maxTimeoutMillis() {
        return mRoutesByVirtualHost.values().stream()
                .flatMap(List::stream)
                .mapToLong(GatewayRoute::timeoutMillis)
                .max()
                .orElse(0);
    }

    /** Returns all services. */
    public List<ServiceDeclaration> services() {
        return List.copyOf(mServices.values());
    }

    /** Returns the service with the given ID. */
    public Optional<ServiceDeclaration> service(ServiceId id) {
        return Optional.ofNullable(mServices.get(id));
    }

    /** Returns the workspace that a key belongs to. */
    public Optional<WorkspaceDeclaration> workspaceOfKey(KeyHash key) {
        return Optional.ofNullable(mWorkspacesByKey.get(key));
    }

    /** Returns the workspace with the given ID. */
    public Optional<WorkspaceDeclaration> workspace(WorkspaceId id) {
        return Optional.ofNullable(mWorkspaces.get(id));
    }

    /**
     * Returns the weight of a workspace where capacity is scarce: its rate limit relative to the
     * mean; 1 if it has none.
     */
    public double weight(WorkspaceId id) {
        return workspace(id)
                .map(WorkspaceDeclaration::quota)
                .filter(TokenQuota::isLimited)
                .map(quota -> quota.tokensPerSecond() / mMeanTokensPerSecond)
                .orElse(1.0);
    }

    /** Returns whether any workspace is declared; without workspaces, no request needs a key. */
    public boolean hasWorkspaces() {
        return !mWorkspaces.isEmpty();
    }
}
