package org.fuchsiaford.selection;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * How evenly the requests of a replay were served. The worst of a set is its part served in time
 * over that of all requests.
 *
 * @param served the part of all requests that was served in time
 * @param worstKind the worst kind
 * @param worstDomain the worst failure domain of callers
 * @param worstWorkspace the worst workspace
 * @param largestTenth of all kinds, the least part served of the largest tenth by prompt size over
 *     that of the kind
 * @param inversion by how much a less urgent kind was served more often than a more urgent one
 */
record LoadFigures(
        double served,
        double worstKind,
        double worstDomain,
        double worstWorkspace,
        double largestTenth,
        double inversion) {

    static LoadFigures of(Collection<LoadRequest> requests) {
        double served = part(requests);
        Map<Integer, List<LoadRequest>> kinds =
                requests.stream()
                        .collect(
                                Collectors.groupingBy(
                                        LoadRequest::priority, TreeMap::new, Collectors.toList()));
        List<Double> byUrgency = kinds.values().stream().map(LoadFigures::part).toList();
        double inversion = 0;
        for (int i = 0; i < byUrgency.size(); i++) {
            for (int j = i + 1; j < byUrgency.size(); j++) {
                inversion = Math.max(inversion, byUrgency.get(j) - byUrgency.get(i));
            }
        }
        return new LoadFigures(
                served,
                worst(requests, LoadRequest::route) / served,
                worst(requests, LoadRequest::domain) / served,
                worst(requests, LoadRequest::workspace) / served,
                kinds.values().stream().mapToDouble(LoadFigures::largestTenth).min().orElse(1),
                inversion);
    }

    static double part(Collection<LoadRequest> requests) {
        return requests.stream().filter(LoadRequest::isInTime).count()
                / Math.max(1.0, requests.size());
    }

    private static double worst(
            Collection<LoadRequest> requests, Function<LoadRequest, String> group) {
        return requests.stream().collect(Collectors.groupingBy(group)).values().stream()
                .mapToDouble(LoadFigures::part)
                .min()
                .orElse(1);
    }

    private static double largestTenth(List<LoadRequest> kind) {
        List<LoadRequest> largest =
                kind.stream()
                        .sorted(Comparator.comparingLong(LoadRequest::promptTokens).reversed())
                        .limit(Math.max(1, kind.size() / 10))
                        .toList();
        return part(largest) / Math.max(1e-9, part(kind));
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "served %.3f, worst kind %.2f, worst failure domain %.2f, worst workspace %.2f,"
                        + " largest tenth %.2f, inversion %.3f",
                served,
                worstKind,
                worstDomain,
                worstWorkspace,
                largestTenth,
                inversion);
    }
}
