package org.fuchsiaford.host;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.fuchsiaford.bundle.EntrySlot;
import org.fuchsiaford.hash.RendezvousHash;

/**
 * The panel of each slot of one bundle.
 *
 * <p>Invariant: any two computations from the same slots agree, on any host. A panel has three
 * other slots, one of each failure domain where there are enough; of three slots in all, it has all
 * three (with the subject itself), so that the loss of one leaves a majority. Immutable.
 */
public final class PanelTable {
    private static final int PANEL_SIZE = 3;

    private final Map<SlotId, Panel> mPanels;

    /** Computes the panels of the slots of a bundle. */
    public PanelTable(List<EntrySlot> slots) {
        mPanels =
                slots.stream()
                        .map(slot -> panel(slot.id(), slots))
                        .collect(Collectors.toMap(Panel::subject, Function.identity()));
    }

    private static Panel panel(SlotId subject, List<EntrySlot> slots) {
        List<EntrySlot> eligible =
                slots.size() == PANEL_SIZE
                        ? slots
                        : slots.stream().filter(slot -> !slot.id().equals(subject)).toList();
        return new Panel(subject, SlotSpread.choose("panel/" + subject, eligible, PANEL_SIZE));
    }

    /** Returns the panel of a slot; one without members if the bundle has no such slot. */
    public Panel panel(SlotId subject) {
        return mPanels.getOrDefault(subject, new Panel(subject, List.of()));
    }

    /** Returns the panel that a host without a slot asks; it may be any one of the table. */
    public Panel panelForSpare(HostId host) {
        return RendezvousHash.rank(host.value(), mPanels.keySet()).stream()
                .findFirst()
                .map(mPanels::get)
                .orElseThrow(() -> new IllegalStateException("a bundle has at least one slot"));
    }

    /** Returns all panels. */
    public List<Panel> panels() {
        return List.copyOf(mPanels.values());
    }
}
