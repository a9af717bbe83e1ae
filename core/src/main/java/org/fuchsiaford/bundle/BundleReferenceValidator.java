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
 * Validates the references between the elements of a bundle and the uniqueness of IDs and keys.
 *
 * <p>Not thread-safe; each instance validates one bundle.
 */
final class BundleReferenceValidator {
    private final Bundle mBundle;
    private final List<JsonProblem> mProblems = new ArrayList<>();

    BundleReferenceValidator(Bundle bundle) {
        mBundle = bundle;
    }

    List<JsonProblem> validate() {
        checkUniqueIds();
        Set<FailureDomainId> domains = ids(mBundle.failureDomains(), FailureDomain::id);
        forEach(
                mBundle.entrySlots(),
                "$.entrySlots",
                (slot, path) ->
                        requireDeclared(domains, slot.failureDomain(), path + ".failureDomain"));
        forEach(
                mBundle.backendServers(),
                "$.backendServers",
                (server, path) -> checkServer(domains, server, path));
        checkPoolModels();
        checkRoutes();
        checkWorkspaces();
        if (mBundle.entrySlots().isEmpty()) {
            addProblem("$.entrySlots", "must not be empty");
        }
        return mProblems;
    }

    private void checkUniqueIds() {
        requireUnique("failureDomains", mBundle.failureDomains(), FailureDomain::id);
        requireUnique("entrySlots", mBundle.entrySlots(), EntrySlot::id);
        requireUnique("models", mBundle.models(), Model::id);
        requireUnique("backendServers", mBundle.backendServers(), BackendServer::id);
        requireUnique("routes", mBundle.routes(), Route::path);
        requireUnique("workspaces", mBundle.workspaces(), Workspace::id);
    }

    private void checkServer(Set<FailureDomainId> domains, BackendServer server, String path) {
        requireDeclared(domains, server.failureDomain(), path + ".failureDomain");
        if (server.model() != null) {
            requireDeclared(ids(mBundle.models(), Model::id), server.model(), path + ".model");
        }
    }

    private void checkPoolModels() {
        mBundle.backendServers().stream()
                .filter(server -> server.pool() != null)
                .collect(Collectors.groupingBy(BackendServer::pool))
                .forEach(
                        (pool, servers) -> {
                            if (ids(servers, BackendServer::model).size() > 1) {
                                addProblem(
                                        "$.backendServers",
                                        "pool " + pool + " serves more than one model");
                            }
                        });
    }

    private void checkRoutes() {
        Set<?> services = ids(mBundle.backendServers(), BackendServer::service);
        forEach(
                mBundle.routes(),
                "$.routes",
                (route, path) -> {
                    requireDeclared(services, route.service(), path + ".service");
                    if (route.methods().isEmpty()) {
                        addProblem(path + ".methods", "must not be empty");
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
                            (model, modelPath) -> requireDeclared(models, model, modelPath));
                    forEach(
                            workspace.routes(),
                            path + ".routes",
                            (route, routePath) -> requireDeclared(routes, route, routePath));
                    forEach(
                            workspace.keys(),
                            path + ".keys",
                            (key, keyPath) -> {
                                if (!keys.add(key)) {
                                    addProblem(
                                            keyPath, "duplicates a key that is already declared");
                                }
                            });
                    if (workspace.homes() > Math.max(mBundle.entrySlots().size(), 1)) {
                        addProblem(path + ".homes", "exceeds the number of entry slots");
                    }
                });
    }

    private void requireDeclared(Set<?> ids, Object id, String path) {
        if (!ids.contains(id)) {
            addProblem(path, "refers to " + id + ", which is not declared");
        }
    }

    private <T> void requireUnique(String field, List<T> values, Function<T, ?> id) {
        Set<Object> seen = new HashSet<>();
        forEach(
                values,
                "$." + field,
                (value, path) -> {
                    if (!seen.add(id.apply(value))) {
                        addProblem(path, "duplicate id " + id.apply(value));
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

    private void addProblem(String path, String reason) {
        mProblems.add(new JsonProblem(path, reason));
    }
}
