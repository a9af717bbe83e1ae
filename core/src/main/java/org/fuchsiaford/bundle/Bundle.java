package org.fuchsiaford.bundle;

import java.util.List;

/**
 * The operators' declaration of the whole system, as they reviewed and signed it.
 *
 * <p>Invariant: every reference between parts names a part that exists; {@link BundleReader} is the
 * only source of bundles and checks this. Immutable, hence thread-safe.
 *
 * @param version the operators' number of the bundle
 * @param failureDomains the failure domains
 * @param entrySlots the slots for entry hosts
 * @param models the models
 * @param backendServers model engines and plain services
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
