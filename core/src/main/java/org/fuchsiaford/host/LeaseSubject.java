package org.fuchsiaford.host;

import java.util.Optional;
import org.fuchsiaford.bundle.Generation;

/**
 * What a serving lease is for: acting on a generation of the bundle and, unless the host is a
 * spare, as an incarnation of a slot. Immutable.
 *
 * <p>Invariant: slot and incarnation are both set or both null.
 *
 * @param generation the generation of the bundle
 * @param slot the slot, or null for a spare host, which holds no slot
 * @param incarnation the incarnation, or null for a spare host
 */
public record LeaseSubject(Generation generation, SlotId slot, Incarnation incarnation) {
    /** Creates a subject; throws IllegalArgumentException if the invariant does not hold. */
    public LeaseSubject {
        if ((slot == null) != (incarnation == null)) {
            throw new IllegalArgumentException(
                    "slot and incarnation must be both set or both null");
        }
    }

    /** Returns the slot, if the host holds one. */
    public Optional<SlotId> heldSlot() {
        return Optional.ofNullable(slot);
    }
}
