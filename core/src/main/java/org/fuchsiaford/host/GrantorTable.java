package org.fuchsiaford.host;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.fuchsiaford.bundle.EntrySlot;
import org.fuchsiaford.hash.Rendezvous;

/**
 * The panel of each slot of one bundle.
 *
 * <p>Invariant: any two computations from the same slots agree, on any host. A panel has three
 * other slots, one of each failure domain where there are enough; of three slots in all, it has all
 * three (with the subject itself), so that the loss of one leaves a majority. Immutable.
 */
public final class GrantorTable {
    private static final int PANEL_SIZE = 3;

    private final Map<SlotId, GrantorSet> mPanels;

    /** Computes the panels of the slots of a bundle. */
    public GrantorTable(List<EntrySlot> slots) {
        mPanels =
                slots.stream()
                        .map(slot -> choose(slot.id(), slots))
                        .collect(Collectors.toMap(GrantorSet::subject, Function.identity()));
    }

    private static GrantorSet choose(SlotId subject, List<EntrySlot> slots) {
        List<EntrySlot> eligible =
                slots.size() == PANEL_SIZE
                        ? slots
                        : slots.stream().filter(slot -> !slot.id().equals(subject)).toList();
        return new GrantorSet(
                subject, SlotSelector.select("panel/" + subject, eligible, PANEL_SIZE));
    }

    /** Returns the panel of a slot; one without members if the bundle has no such slot. */
    public GrantorSet grantorsOf(SlotId subject) {
        return mPanels.getOrDefault(subject, new GrantorSet(subject, List.of()));
    }

    /** Returns the panel that a host without a slot asks; it may be any one of the table. */
    public GrantorSet grantorsForSpare(HostId host) {
        return Rendezvous.order(host.value(), mPanels.keySet()).stream()
                .findFirst()
                .map(mPanels::get)
                .orElseThrow(() -> new IllegalStateException("a bundle has at least one slot"));
    }

    /** Returns all panels. */
    public List<GrantorSet> grantorSets() {
        return List.copyOf(mPanels.values());
    }
}
