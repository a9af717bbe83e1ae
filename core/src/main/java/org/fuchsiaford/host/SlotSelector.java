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
import org.fuchsiaford.hash.Rendezvous;

/**
 * Chooses slots for a key by rendezvous hashing, one failure domain after another, so that the loss
 * of one failure domain takes as few of them as possible.
 *
 * <p>Stateless, hence thread-safe.
 */
public final class SlotSelector {
    private SlotSelector() {}

    /**
     * Returns up to {@code count} slots, best first.
     *
     * @param key what the slots are chosen for
     * @param slots the slots to choose from
     * @param count how many to choose
     */
    public static List<SlotId> select(String key, List<EntrySlot> slots, int count) {
        Map<SlotId, EntrySlot> byId =
                slots.stream().collect(Collectors.toMap(EntrySlot::id, Function.identity()));
        List<EntrySlot> left =
                new ArrayList<>(
                        Rendezvous.order(key, byId.keySet()).stream().map(byId::get).toList());
        List<SlotId> chosen = new ArrayList<>();
        while (chosen.size() < count && !left.isEmpty()) {
            takeOneOfEachDomain(left, chosen, count);
        }
        return List.copyOf(chosen);
    }

    private static void takeOneOfEachDomain(List<EntrySlot> left, List<SlotId> chosen, int count) {
        Set<FailureDomainId> used = new HashSet<>();
        left.removeIf(
                slot -> {
                    boolean take = chosen.size() < count && used.add(slot.failureDomain());
                    if (take) {
                        chosen.add(slot.id());
                    }
                    return take;
                });
    }
}
