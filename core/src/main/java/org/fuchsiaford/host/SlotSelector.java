package org.fuchsiaford.host;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.fuchsiaford.bundle.EntrySlot;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.hash.RendezvousHash;

/**
 * Selects slots for a key by rendezvous hashing, spread evenly over the failure domains, so that
 * the loss of one failure domain affects as few of the selected slots as possible.
 *
 * <p>Stateless, hence thread-safe.
 */
public final class SlotSelector {
    private SlotSelector() {}

    /**
     * Returns up to {@code count} slots in order of preference.
     *
     * @param key what the slots are selected for; part of the hash
     * @param slots the slots to select from
     * @param count how many to select; fewer are returned if there are not as many
     */
    public static List<SlotId> select(String key, List<EntrySlot> slots, int count) {
        Map<SlotId, EntrySlot> byId =
                slots.stream().collect(Collectors.toMap(EntrySlot::id, Function.identity()));
        List<EntrySlot> candidates =
                new ArrayList<>(
                        RendezvousHash.rank(key, byId.keySet()).stream().map(byId::get).toList());
        List<SlotId> selected = new ArrayList<>();
        while (selected.size() < count && !candidates.isEmpty()) {
            moveOnePerDomain(candidates, selected, count);
        }
        return List.copyOf(selected);
    }

    private static void moveOnePerDomain(
            List<EntrySlot> candidates, List<SlotId> selected, int count) {
        Set<FailureDomainId> usedDomains = new HashSet<>();
        candidates.removeIf(
                slot -> {
                    boolean select =
                            selected.size() < count && usedDomains.add(slot.failureDomain());
                    if (select) {
                        selected.add(slot.id());
                    }
                    return select;
                });
    }
}
