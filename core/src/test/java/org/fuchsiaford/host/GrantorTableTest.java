package org.fuchsiaford.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.fuchsiaford.bundle.EntrySlot;
import org.fuchsiaford.bundle.FailureDomainId;

/** Tests which slots are chosen as grantors of serving leases. */
class GrantorTableTest {
    private static List<EntrySlot> slots(int count, int domains) {
        return IntStream.range(0, count)
                .mapToObj(
                        i ->
                                new EntrySlot(
                                        new SlotId("s" + i),
                                        new FailureDomainId("d" + i % domains)))
                .toList();
    }

    @Property(seed = "3", tries = 200)
    void grantorSetsKeepAMajorityWithoutAnyOneFailureDomain(
            @ForAll @IntRange(min = 6, max = 40) int count,
            @ForAll @IntRange(min = 3, max = 6) int domains) {
        List<EntrySlot> slots = slots(count, domains);
        GrantorTable table = new GrantorTable(slots);
        IntStream.range(0, domains)
                .mapToObj(d -> new FailureDomainId("d" + d))
                .forEach(
                        lost -> {
                            Set<SlotId> remaining =
                                    slots.stream()
                                            .filter(slot -> !slot.failureDomain().equals(lost))
                                            .map(EntrySlot::id)
                                            .collect(Collectors.toSet());
                            assertThat(table.grantorSets())
                                    .allMatch(set -> set.hasMajority(remaining));
                        });
    }

    @Property(seed = "4", tries = 50)
    void grantorSetsDependOnNothingButTheSlots(@ForAll @IntRange(min = 1, max = 40) int count) {
        List<EntrySlot> slots = slots(count, 3);
        List<EntrySlot> shuffled = new ArrayList<>(slots);
        Collections.shuffle(shuffled, new Random(count));
        GrantorTable table = new GrantorTable(slots);
        assertThat(new GrantorTable(shuffled).grantorSets())
                .containsExactlyInAnyOrderElementsOf(table.grantorSets());
    }
}
