package org.fuchsiaford.workspace;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsiaford.bundle.EntrySlot;
import org.fuchsiaford.bundle.Workspace;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.host.SlotSelector;

/**
 * Computes and caches the home slots of workspaces, that is the slots that keep a token bucket for
 * a workspace. The result depends only on the entry slots, the workspace ID and its number of
 * homes, so the cache can be kept across bundles with the same entry slots, as most successive
 * bundles have.
 *
 * <p>Thread-safe.
 */
public final class HomeSlots {
    private final List<EntrySlot> mSlots;
    private final Map<Key, List<SlotId>> mHomes = new ConcurrentHashMap<>();

    private record Key(WorkspaceId workspace, int homes) {}

    /** Creates an instance for the entry slots of a bundle. */
    public HomeSlots(List<EntrySlot> slots) {
        mSlots = List.copyOf(slots);
    }

    /** Returns whether this instance was created for the given entry slots. */
    public boolean matches(List<EntrySlot> slots) {
        return mSlots.equals(slots);
    }

    /**
     * Returns the home slots of a workspace in order of preference, in different failure domains as
     * far as there are enough.
     */
    public List<SlotId> homesOf(Workspace workspace) {
        return mHomes.computeIfAbsent(new Key(workspace.id(), workspace.homes()), this::select);
    }

    private List<SlotId> select(Key key) {
        return SlotSelector.select("workspace/" + key.workspace(), mSlots, key.homes());
    }
}
