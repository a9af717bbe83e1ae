package org.fuchsiaford.host;

import java.util.Collection;
import java.util.List;

/**
 * The slots whose holders promise a slot's holder that it may act. Immutable.
 *
 * @param subject the slot that the promises are for
 * @param members the slots that promise
 */
public record GrantorSet(SlotId subject, List<SlotId> members) {
    /** Returns how many members form a majority. */
    public int majority() {
        return members.size() / 2 + 1;
    }

    /** Returns whether the given slots hold a majority of the members. */
    public boolean hasMajority(Collection<SlotId> slots) {
        return members.stream().filter(slots::contains).count() >= majority();
    }
}
