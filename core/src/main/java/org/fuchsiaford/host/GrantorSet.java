package org.fuchsiaford.host;

import java.util.Collection;
import java.util.List;

/**
 * The slots whose holders grant serving leases for a slot. Immutable.
 *
 * @param subject the slot that the leases are for
 * @param members the slots whose holders grant them
 */
public record GrantorSet(SlotId subject, List<SlotId> members) {
    /** Returns how many members form a majority. */
    public int majority() {
        return members.size() / 2 + 1;
    }

    /** Returns whether the given slots contain a majority of the members. */
    public boolean hasMajority(Collection<SlotId> slots) {
        return members.stream().filter(slots::contains).count() >= majority();
    }
}
