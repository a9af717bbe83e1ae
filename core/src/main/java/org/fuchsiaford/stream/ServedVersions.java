package org.fuchsiaford.stream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.SoftwareVersion;

/**
 * The software versions of each service at which streams may have begun that callers can still take
 * up, as recorded in the store.
 *
 * <p>Invariant: a server gets streams only after its version has been recorded, unless no server of
 * a recorded version is left. So while a single version is recorded, all streams began at it.
 * Thread-safe.
 */
public final class ServedVersions {
    private final Map<ServiceId, Set<SoftwareVersion>> mVersions = new HashMap<>();

    /** Replaces the versions of a service. */
    public synchronized void replace(ServiceId service, List<SoftwareVersion> versions) {
        mVersions.put(service, Set.copyOf(versions));
    }

    /** Forgets the versions of a service. */
    public synchronized void remove(ServiceId service) {
        mVersions.remove(service);
    }

    /** Returns the versions of a service in ascending order. */
    public synchronized List<SoftwareVersion> of(ServiceId service) {
        return List.copyOf(new TreeSet<>(mVersions.getOrDefault(service, Set.of())));
    }

    /** Returns whether streams of a service may have begun at several versions. */
    public synchronized boolean isMixed(ServiceId service) {
        return mVersions.getOrDefault(service, Set.of()).size() > 1;
    }

    /** Returns whether streams of any service may have begun at several versions. */
    public synchronized boolean isAnyMixed() {
        return mVersions.values().stream().anyMatch(versions -> versions.size() > 1);
    }

    /**
     * Returns the version at which every stream of a service began; empty if there are several, or
     * if one of the servers has another version, which is about to be recorded.
     *
     * @param registered the registered servers of the service
     */
    public synchronized Optional<SoftwareVersion> only(
            ServiceId service, List<LiveServer> registered) {
        Set<SoftwareVersion> versions = mVersions.getOrDefault(service, Set.of());
        boolean complete =
                registered.stream().map(LiveServer::version).allMatch(versions::contains);
        return versions.size() == 1 && complete
                ? Optional.of(versions.iterator().next())
                : Optional.empty();
    }

    /** Returns the servers that may be sent streams: those of recorded versions, if any. */
    public synchronized List<LiveServer> admitted(ServiceId service, List<LiveServer> servers) {
        Set<SoftwareVersion> versions = mVersions.getOrDefault(service, Set.of());
        List<LiveServer> recorded =
                servers.stream().filter(server -> versions.contains(server.version())).toList();
        return recorded.isEmpty() ? servers : recorded;
    }

    /** Returns the services for which versions are recorded. */
    public synchronized Set<ServiceId> services() {
        return Set.copyOf(mVersions.keySet());
    }
}
