package org.fuchsiaford.host;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.fuchsiaford.bundle.EntrySlot;
import org.fuchsiaford.hash.RendezvousHash;

/**
 * The grantor set of each slot of a bundle.
 *
 * <p>Invariant: every host computes the same table from the same slots. A grantor set consists of
 * three other slots, in three failure domains where there are as many. If the bundle has exactly
 * three slots, all of them are grantors, including the subject itself, so that a majority survives
 * the loss of one. Immutable.
 */
public final class GrantorTable {
    private static final int GRANTORS_PER_SLOT = 3;

    /**
     * Part of the hashed key. It keeps an earlier name of grantor sets, because hosts that use
     * another text would compute other sets.
     */
    private static final String HASH_KEY_PREFIX = "panel/";

    private final Map<SlotId, GrantorSet> mGrantorSets;

    /** Computes the grantor sets of the slots of a bundle. */
    public GrantorTable(List<EntrySlot> slots) {
        mGrantorSets =
                slots.stream()
                        .map(slot -> choose(slot.id(), slots))
                        .collect(Collectors.toMap(GrantorSet::subject, Function.identity()));
    }

    private static GrantorSet choose(SlotId subject, List<EntrySlot> slots) {
        List<EntrySlot> eligible =
                slots.size() == GRANTORS_PER_SLOT
                        ? slots
                        : slots.stream().filter(slot -> !slot.id().equals(subject)).toList();
        return new GrantorSet(
                subject,
                SlotSelector.select(HASH_KEY_PREFIX + subject, eligible, GRANTORS_PER_SLOT));
    }

    /** Returns the grantor set of a slot; it has no members if the bundle lacks the slot. */
    public GrantorSet grantorsOf(SlotId subject) {
        return mGrantorSets.getOrDefault(subject, new GrantorSet(subject, List.of()));
    }

    /**
     * Returns the grantor set for a host that holds no slot. Any set of the table would do; it is
     * chosen by hashing the host ID.
     */
    public GrantorSet grantorsForSpare(HostId host) {
        return RendezvousHash.rank(host.value(), mGrantorSets.keySet()).stream()
                .findFirst()
                .map(mGrantorSets::get)
                .orElseThrow(() -> new IllegalStateException("bundle has no entry slots"));
    }

    /** Returns all grantor sets, in no particular order. */
    public List<GrantorSet> grantorSets() {
        return List.copyOf(mGrantorSets.values());
    }
}
