package org.fuchsiaford.host;

import java.util.Optional;
import org.fuchsiaford.bundle.Generation;

/**
 * What a serving lease entitles its holder to: to act on a generation of the bundle, as an
 * incarnation of a slot if it holds one. Immutable.
 *
 * <p>Invariant: slot and incarnation are both present or both null.
 *
 * @param generation the generation of the bundle
 * @param slot the slot, or null for a spare host
 * @param incarnation the incarnation, or null for a spare host
 */
public record LeaseSubject(Generation generation, SlotId slot, Incarnation incarnation) {
    /** Creates a subject. */
    public LeaseSubject {
        if ((slot == null) != (incarnation == null)) {
            throw new IllegalArgumentException("a slot goes with an incarnation");
        }
    }

    /** Returns the slot, if the host holds one. */
    public Optional<SlotId> heldSlot() {
        return Optional.ofNullable(slot);
    }
}
