package org.fuchsiaford.workspace;

import java.util.List;
import org.fuchsiaford.bundle.EntrySlot;
import org.fuchsiaford.bundle.Workspace;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.host.SlotSpread;

/** Computes the slots that accrue a workspace's tokens. Stateless, hence thread-safe. */
public final class HomeSlots {
    private HomeSlots() {}

    /** Returns the home slots of a workspace, best first, in different failure domains. */
    public static List<SlotId> of(Workspace workspace, List<EntrySlot> slots) {
        return SlotSpread.choose("workspace/" + workspace.id(), slots, workspace.homes());
    }
}
