package org.fuchsiaford.bundle;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.fuchsiaford.json.JsonProblem;

/**
 * Checks that the parts of a bundle refer only to parts that exist and that ids are unique.
 *
 * <p>Not thread-safe; used by one reader.
 */
final class BundleReferenceValidator {
    private final Bundle mBundle;
    private final List<JsonProblem> mProblems = new ArrayList<>();

    BundleReferenceValidator(Bundle bundle) {
        mBundle = bundle;
    }

    List<JsonProblem> check() {
        checkUniqueIds();
        Set<FailureDomainId> domains = ids(mBundle.failureDomains(), FailureDomain::id);
        forEach(
                mBundle.entrySlots(),
                "$.entrySlots",
                (slot, path) -> known(domains, slot.failureDomain(), path + ".failureDomain"));
        forEach(
                mBundle.backendServers(),
                "$.backendServers",
                (server, path) -> checkServer(domains, server, path));
        checkPoolModels();
        checkRoutes();
        checkWorkspaces();
        if (mBundle.entrySlots().isEmpty()) {
            add("$.entrySlots", "must not be empty");
        }
        return mProblems;
    }

    private void checkUniqueIds() {
        unique("failureDomains", mBundle.failureDomains(), FailureDomain::id);
        unique("entrySlots", mBundle.entrySlots(), EntrySlot::id);
        unique("models", mBundle.models(), Model::id);
        unique("backendServers", mBundle.backendServers(), BackendServer::id);
        unique("routes", mBundle.routes(), Route::path);
        unique("workspaces", mBundle.workspaces(), Workspace::id);
    }

    private void checkServer(Set<FailureDomainId> domains, BackendServer server, String path) {
        known(domains, server.failureDomain(), path + ".failureDomain");
        if (server.model() != null) {
            known(ids(mBundle.models(), Model::id), server.model(), path + ".model");
        }
    }

    private void checkPoolModels() {
        mBundle.backendServers().stream()
                .filter(server -> server.pool() != null)
                .collect(Collectors.groupingBy(BackendServer::pool))
                .forEach(
                        (pool, servers) -> {
                            if (ids(servers, BackendServer::model).size() > 1) {
                                add("$.backendServers", "pool " + pool + " mixes models");
                            }
                        });
    }

    private void checkRoutes() {
        Set<?> services = ids(mBundle.backendServers(), BackendServer::service);
        forEach(
                mBundle.routes(),
                "$.routes",
                (route, path) -> {
                    known(services, route.service(), path + ".service");
                    if (route.methods().isEmpty()) {
                        add(path + ".methods", "must not be empty");
                    }
                });
    }

    private void checkWorkspaces() {
        Set<?> models = ids(mBundle.models(), Model::id);
        Set<?> routes = ids(mBundle.routes(), Route::path);
        Set<Object> keys = new HashSet<>();
        forEach(
                mBundle.workspaces(),
                "$.workspaces",
                (workspace, path) -> {
                    forEach(
                            workspace.models(),
                            path + ".models",
                            (model, at) -> known(models, model, at));
                    forEach(
                            workspace.routes(),
                            path + ".routes",
                            (route, at) -> known(routes, route, at));
                    forEach(
                            workspace.keys(),
                            path + ".keys",
                            (key, at) -> {
                                if (!keys.add(key)) {
                                    add(at, "belongs to more than one entry");
                                }
                            });
                    if (workspace.homes() > Math.max(mBundle.entrySlots().size(), 1)) {
                        add(path + ".homes", "exceeds the number of entry slots");
                    }
                });
    }

    private void known(Set<?> ids, Object id, String path) {
        if (!ids.contains(id)) {
            add(path, "refers to " + id + ", which is not declared");
        }
    }

    private <T> void unique(String field, List<T> values, Function<T, ?> id) {
        Set<Object> seen = new HashSet<>();
        forEach(
                values,
                "$." + field,
                (value, path) -> {
                    if (!seen.add(id.apply(value))) {
                        add(path, "repeats the id " + id.apply(value));
                    }
                });
    }

    private static <T, K> Set<K> ids(List<T> values, Function<T, K> id) {
        return values.stream().map(id).collect(Collectors.toSet());
    }

    private static <T> void forEach(List<T> values, String path, BiConsumer<T, String> check) {
        IntStream.range(0, values.size())
                .forEach(i -> check.accept(values.get(i), path + "[" + i + "]"));
    }

    private void add(String path, String reason) {
        mProblems.add(new JsonProblem(path, reason));
    }
}
