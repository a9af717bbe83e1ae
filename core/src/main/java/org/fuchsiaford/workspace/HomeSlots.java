package org.fuchsiaford.workspace;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsiaford.bundle.EntrySlot;
import org.fuchsiaford.bundle.Workspace;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.host.SlotSelector;

/**
 * Computes the slots that accrue a workspace's tokens, and remembers them, since they depend only
 * on the slots and most bundles change none.
 *
 * <p>Thread-safe.
 */
public final class HomeSlots {
    private final List<EntrySlot> mSlots;
    private final Map<Key, List<SlotId>> mHomes = new ConcurrentHashMap<>();

    private record Key(WorkspaceId workspace, int homes) {}

    /** Creates a computation over the slots of a bundle. */
    public HomeSlots(List<EntrySlot> slots) {
        mSlots = List.copyOf(slots);
    }

    /** Returns whether the slots are the given ones. */
    public boolean matches(List<EntrySlot> slots) {
        return mSlots.equals(slots);
    }

    /** Returns the home slots of a workspace, best first, in different failure domains. */
    public List<SlotId> homesOf(Workspace workspace) {
        return mHomes.computeIfAbsent(new Key(workspace.id(), workspace.homes()), this::choose);
    }

    private List<SlotId> choose(Key key) {
        return SlotSelector.select("workspace/" + key.workspace(), mSlots, key.homes());
    }
}
