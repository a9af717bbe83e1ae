package org.fuchsiaford.bundle;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ModelId;
import org.fuchsiaford.backend.PoolId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.workspace.HomeSlots;
import org.fuchsiaford.workspace.KeyHash;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * Indexes one bundle by ID, key and path. Built once when the bundle is loaded.
 *
 * <p>Invariant: the results agree with the indexed bundle. Immutable except for the cache of home
 * slots; thread-safe.
 */
public final class BundleIndex {
    private final Bundle mBundle;
    private final HomeSlots mHomes;
    private final Map<ModelId, Model> mModels;
    private final Map<WorkspaceId, Workspace> mWorkspaces;
    private final Map<KeyHash, Workspace> mWorkspacesByKey;
    private final Map<BackendServerId, BackendServer> mBackendServers;
    private final Map<ServiceId, List<BackendServer>> mServices;
    private final Map<PoolId, List<BackendServer>> mPools;
    private final Map<ModelId, List<PoolId>> mPoolsByModel;
    private final List<Route> mRoutesLongestFirst;

    /** Creates the index of a bundle. */
    public BundleIndex(Bundle bundle) {
        this(bundle, new HomeSlots(bundle.entrySlots()));
    }

    private BundleIndex(Bundle bundle, HomeSlots homes) {
        mBundle = bundle;
        mHomes = homes;
        mModels = byId(bundle.models(), Model::id);
        mWorkspaces = byId(bundle.workspaces(), Workspace::id);
        mWorkspacesByKey =
                bundle.workspaces().stream()
                        .flatMap(w -> w.keys().stream().map(key -> Map.entry(key, w)))
                        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        mBackendServers = byId(bundle.backendServers(), BackendServer::id);
        mServices =
                bundle.backendServers().stream()
                        .filter(server -> server.service() != null)
                        .collect(Collectors.groupingBy(BackendServer::service));
        mPools =
                bundle.backendServers().stream()
                        .filter(server -> server.pool() != null)
                        .collect(
                                Collectors.groupingBy(
                                        BackendServer::pool, TreeMap::new, Collectors.toList()));
        mPoolsByModel =
                mPools.entrySet().stream()
                        .collect(
                                Collectors.groupingBy(
                                        entry -> entry.getValue().get(0).model(),
                                        Collectors.mapping(
                                                Map.Entry::getKey, Collectors.toList())));
        mRoutesLongestFirst =
                bundle.routes().stream()
                        .sorted(Comparator.comparingInt((Route r) -> -r.path().length()))
                        .toList();
    }

    /** Returns the index of another bundle; keeps the home slot cache if the slots are the same. */
    public BundleIndex rebuild(Bundle bundle) {
        return mHomes.matches(bundle.entrySlots())
                ? new BundleIndex(bundle, mHomes)
                : new BundleIndex(bundle);
    }

    private static <K, V> Map<K, V> byId(List<V> values, Function<V, K> id) {
        return values.stream().collect(Collectors.toMap(id, Function.identity()));
    }

    /** Returns the indexed bundle. */
    public Bundle bundle() {
        return mBundle;
    }

    /** Returns the mapping of workspaces to home slots. */
    public HomeSlots homes() {
        return mHomes;
    }

    /** Returns the model with the given ID. */
    public Optional<Model> model(ModelId id) {
        return Optional.ofNullable(mModels.get(id));
    }

    /** Returns the workspace with the given ID. */
    public Optional<Workspace> workspace(WorkspaceId id) {
        return Optional.ofNullable(mWorkspaces.get(id));
    }

    /** Returns the workspace that the key belongs to. */
    public Optional<Workspace> workspaceOfKey(KeyHash key) {
        return Optional.ofNullable(mWorkspacesByKey.get(key));
    }

    /** Returns the backend server with the given ID. */
    public Optional<BackendServer> backendServer(BackendServerId id) {
        return Optional.ofNullable(mBackendServers.get(id));
    }

    /** Returns the backend servers of a plain service. */
    public List<BackendServer> servers(ServiceId id) {
        return mServices.getOrDefault(id, List.of());
    }

    /** Returns the engines of a pool. */
    public List<BackendServer> engines(PoolId id) {
        return mPools.getOrDefault(id, List.of());
    }

    /** Returns all pools, in ascending order. */
    public List<PoolId> pools() {
        return List.copyOf(mPools.keySet());
    }

    /** Returns the pools that serve a model. */
    public List<PoolId> pools(ModelId id) {
        return mPoolsByModel.getOrDefault(id, List.of());
    }

    /** Returns the route with the longest path that matches the request path. */
    public Optional<Route> route(String path) {
        return mRoutesLongestFirst.stream().filter(route -> route.matches(path)).findFirst();
    }
}
