package org.fuchsiaford.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.fuchsiaford.TestServers;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.bundle.RegionId;

/** Guards against requests that reach a server in a region that is not allowed for them. */
class RegionMapTest {
    private static final RegionId ONE = new RegionId("r1");
    private static final RegionId TWO = new RegionId("r2");
    private static final AllowedRegions ONLY_ONE = AllowedRegions.of(List.of(ONE));
    private static final AllowedRegions ONLY_TWO = AllowedRegions.of(List.of(TWO));

    private final RegionMap mRegions =
            new RegionMap(Map.of(new FailureDomainId("a"), ONE, new FailureDomainId("b"), TWO));
    private final LiveServer mOne = TestServers.plain("1", "a");
    private final LiveServer mTwo = TestServers.plain("2", "b");
    private final LiveServer mUnknown = TestServers.plain("3", "c");
    private final List<LiveServer> mAll = List.of(mOne, mTwo, mUnknown);

    @Example
    void aBoundRequestGetsNoServerWhoseRegionIsNotKnown() {
        assertThat(mRegions.admitted(mAll, ONLY_ONE)).containsExactly(mOne);
        assertThat(mRegions.admitted(mAll, AllowedRegions.of(List.of(TWO, ONE))))
                .containsExactly(mOne, mTwo);
        assertThat(mRegions.admitted(mAll, AllowedRegions.ALL)).isEqualTo(mAll);
    }

    @Example
    void nothingIsBoundWhileNoRegionIsKnown() {
        assertThat(RegionMap.NONE.admitted(mAll, ONLY_ONE)).isEqualTo(mAll);
        assertThat(RegionMap.NONE.admitted(mAll, ONLY_ONE.and(ONLY_TWO))).isEqualTo(mAll);
    }

    @Example
    void bothRouteAndWorkspaceBind() {
        assertThat(ONLY_ONE.and(AllowedRegions.ALL)).isEqualTo(ONLY_ONE);
        assertThat(AllowedRegions.ALL.and(ONLY_ONE)).isEqualTo(ONLY_ONE);
        assertThat(AllowedRegions.of(List.of(ONE, TWO)).and(ONLY_TWO)).isEqualTo(ONLY_TWO);
        assertThat(ONLY_ONE.and(ONLY_TWO).isNone()).isTrue();
        assertThat(mRegions.admitted(mAll, ONLY_ONE.and(ONLY_TWO))).isEmpty();
        assertThat(AllowedRegions.ALL.isNone()).isFalse();
    }
}
