package org.fuchsiaford.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/** Guards against revisions and fencing tokens that fall from one era of the store to the next. */
class StoreRevisionTest {
    private static final long MAX_NUMBER = (1L << 40) - 1;

    /** The largest integer that all readers of JSON keep exactly. */
    private static final long MAX_EXACT = (1L << 53) - 1;

    @Property(tries = 500, seed = "39")
    void laterErasAreHigherWhateverTheirNumbers(
            @ForAll @LongRange(min = 1, max = 8_191) long era,
            @ForAll @LongRange(max = MAX_NUMBER) long number,
            @ForAll @LongRange(max = MAX_NUMBER) long laterNumber) {
        StoreRevision revision = new StoreRevision(era, number);
        StoreRevision later = new StoreRevision(era + 1, laterNumber);
        assertThat(later.ordered()).isGreaterThan(revision.ordered()).isBetween(0L, MAX_EXACT);
        assertThat(StoreRevision.ofOrdered(revision.ordered())).isEqualTo(revision);
        assertThat(StoreRevision.eraOf(later.ordered())).isEqualTo(era + 1);
    }

    /** The former release uses the bare number. */
    @Property(tries = 100, seed = "40")
    void theFirstEraKeepsTheNumbersOfTheStore(@ForAll @LongRange(max = MAX_NUMBER) long number) {
        assertThat(new StoreRevision(1, number).ordered()).isEqualTo(number);
        assertThat(new StoreRevision(0, number).ordered()).isEqualTo(number);
    }

    @Example
    void aNumberThatWouldReachIntoTheNextEraIsRejected() {
        assertThatThrownBy(() -> new StoreRevision(1, MAX_NUMBER + 1))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new StoreRevision(1, -1))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
