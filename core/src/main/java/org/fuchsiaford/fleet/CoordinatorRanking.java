package org.fuchsiaford.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.hash.RendezvousHash;
import org.fuchsiaford.host.HostId;

/**
 * Chooses the coordinators of a fleet: the hosts with the most processor capacity, among equals by
 * rendezvous hashing, in different failure domains if possible.
 *
 * <p>Invariant: hosts that know the same hosts choose the same coordinators in the same order, and
 * a host that joins or leaves changes the choice of no other host's rank. Stateless, hence
 * thread-safe.
 */
public final class CoordinatorRanking {
    /** Two may be lost at once without a pause in coordination. */
    public static final int COORDINATORS = 3;

    private static final String KEY = "coordinator";

    private CoordinatorRanking() {}

    /** Returns up to {@link #COORDINATORS} of the hosts, the first choice first. */
    public static List<HostRecord> choose(Collection<HostRecord> hosts) {
        List<HostRecord> ranked = rank(hosts);
        Set<FailureDomainId> domains = new HashSet<>();
        List<HostRecord> chosen =
                new ArrayList<>(
                        ranked.stream()
                                .filter(host -> domains.add(host.failureDomain()))
                                .limit(COORDINATORS)
                                .toList());
        ranked.stream()
                .filter(host -> !chosen.contains(host))
                .limit(COORDINATORS - chosen.size())
                .forEach(chosen::add);
        return chosen;
    }

    private static List<HostRecord> rank(Collection<HostRecord> hosts) {
        Map<Double, List<HostRecord>> byCores =
                hosts.stream()
                        .collect(
                                Collectors.groupingBy(
                                        HostRecord::cores,
                                        () -> new TreeMap<>(Comparator.reverseOrder()),
                                        Collectors.toList()));
        return byCores.values().stream().flatMap(equals -> rankEquals(equals).stream()).toList();
    }

    private static List<HostRecord> rankEquals(List<HostRecord> hosts) {
        Map<HostId, HostRecord> byId =
                hosts.stream().collect(Collectors.toMap(HostRecord::id, host -> host, (a, b) -> a));
        return RendezvousHash.rank(KEY, byId.keySet()).stream().map(byId::get).toList();
    }
}
