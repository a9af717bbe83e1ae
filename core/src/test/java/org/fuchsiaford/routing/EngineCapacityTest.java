package org.fuchsiaford.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import net.jqwik.api.Example;

/** Guards against wrong units in the time that KV cache takes to move. */
class EngineCapacityTest {
    @Example
    void kvCacheMovesAtTheRateOfTheLinkAndHalfAsFastBetweenFailureDomains() {
        EngineCapacity capacity = new EngineCapacity(64, 50_000, 500, 7, 100_000, 100_000, 6_000);
        assertThat(capacity.transferMillis(10_000, true)).isCloseTo(80, within(0.001));
        assertThat(capacity.transferMillis(10_000, false)).isCloseTo(160, within(0.001));
    }

    @Example
    void withoutADeclaredLinkTheTransferIsUnknown() {
        EngineCapacity capacity = new EngineCapacity(64, 50_000, 500);
        assertThat(capacity.isTransferKnown()).isFalse();
        assertThat(capacity.transferMillis(10_000, true)).isZero();
    }
}
