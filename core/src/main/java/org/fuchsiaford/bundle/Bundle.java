package org.fuchsiaford.bundle;

import java.util.List;

/**
 * The signed declaration of the whole deployment, as reviewed by the operators.
 *
 * <p>Invariant: every reference between elements names a declared element. {@link BundleReader},
 * which reads bundles from text, checks this. Immutable, hence thread-safe.
 *
 * @param version the version number that the operators assigned
 * @param failureDomains the failure domains
 * @param entrySlots the slots that entry hosts can hold
 * @param models the models
 * @param backendServers the model engines and plain services
 * @param routes the routes to plain services
 * @param workspaces the workspaces
 */
public record Bundle(
        long version,
        List<FailureDomain> failureDomains,
        List<EntrySlot> entrySlots,
        List<Model> models,
        List<BackendServer> backendServers,
        List<Route> routes,
        List<Workspace> workspaces) {}
