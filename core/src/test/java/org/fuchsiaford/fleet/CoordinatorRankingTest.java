package org.fuchsiaford.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.host.HostId;

/** The choice of coordinators among hosts of different size in several failure domains. */
class CoordinatorRankingTest {
    private static HostRecord host(int number, int domain, double cores) {
        return new HostRecord(
                new HostId("h" + number),
                new FailureDomainId("d" + domain),
                "10.0.0." + number + ":80",
                "10.0.0." + number + ":90",
                cores);
    }

    private static List<HostRecord> fleet(int hosts, int domains) {
        return IntStream.range(0, hosts)
                .mapToObj(i -> host(i, i % domains, i % 6 == 0 ? 1.5 : 0.36))
                .toList();
    }

    @Example
    void theLargestHostsOfDifferentFailureDomainsCoordinate() {
        List<HostRecord> chosen = CoordinatorRanking.choose(fleet(95, 5));
        assertThat(chosen).hasSize(3).allMatch(host -> host.cores() == 1.5);
        assertThat(chosen).extracting(HostRecord::failureDomain).doesNotHaveDuplicates();
    }

    @Example
    void aSmallFleetUsesWhatThereIs() {
        assertThat(CoordinatorRanking.choose(List.of())).isEmpty();
        assertThat(CoordinatorRanking.choose(fleet(2, 1))).hasSize(2);
        assertThat(CoordinatorRanking.choose(fleet(9, 1))).hasSize(3);
    }

    @Property(tries = 50, seed = "21")
    void hostsThatKnowTheSameHostsChooseTheSameOrder(
            @ForAll @IntRange(min = 1, max = 400) int hosts, @ForAll Random random) {
        List<HostRecord> known = new ArrayList<>(fleet(hosts, 5));
        List<HostRecord> chosen = CoordinatorRanking.choose(known);
        Collections.shuffle(known, random);
        assertThat(CoordinatorRanking.choose(known)).isEqualTo(chosen);
    }

    @Property(tries = 50, seed = "22")
    void theSecondFollowsWhenTheFirstIsLost(@ForAll @IntRange(min = 20, max = 400) int hosts) {
        List<HostRecord> known = new ArrayList<>(fleet(hosts, 5));
        List<HostRecord> chosen = CoordinatorRanking.choose(known);
        known.remove(chosen.get(0));
        assertThat(CoordinatorRanking.choose(known)).contains(chosen.get(1));
    }
}
