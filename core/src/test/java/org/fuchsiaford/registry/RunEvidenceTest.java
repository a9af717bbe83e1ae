package org.fuchsiaford.registry;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.fuchsiaford.backend.BackendServerId;

/** Evidence of the runs of servers, on a clock of the test. */
class RunEvidenceTest {
    private static final ServerRun RUN = new ServerRun(new BackendServerId("e1"), 1);
    private static final ServerRun LATER_RUN = new ServerRun(new BackendServerId("e1"), 2);

    private final RunEvidence mEvidence = new RunEvidence();

    @Property
    void onlyAStatementAskedForAfterADoubtEndsIt(
            @ForAll @LongRange(min = -5, max = 5) long doubted,
            @ForAll @LongRange(min = -5, max = 5) long asked) {
        var evidence = new RunEvidence();
        evidence.addDoubt(RUN, doubted);
        evidence.addStatement(RUN, asked);
        assertThat(evidence.isDoubted(RUN)).isEqualTo(asked <= doubted);
    }

    @Property
    void aStatementHoldsForTheTimeBeforeIt(
            @ForAll @LongRange(min = -5, max = 5) long first,
            @ForAll @LongRange(min = -5, max = 5) long second,
            @ForAll @LongRange(min = -5, max = 5) long begun) {
        var evidence = new RunEvidence();
        evidence.addStatement(RUN, first);
        evidence.addStatement(RUN, second);
        assertThat(evidence.isStatedSince(RUN, begun)).isEqualTo(begun <= Math.max(first, second));
    }

    @Example
    void nothingIsKnownOfAnotherRunOfTheServer() {
        mEvidence.addDoubt(RUN, 1);
        mEvidence.addStatement(RUN, 2);
        mEvidence.addDoubt(RUN, 3);
        assertThat(mEvidence.isDoubted(LATER_RUN)).isFalse();
        assertThat(mEvidence.isStatedSince(LATER_RUN, 0)).isFalse();
    }

    @Example
    void runsThatAreNotRegisteredAreForgotten() {
        mEvidence.addDoubt(RUN, 1);
        mEvidence.addStatement(LATER_RUN, 1);
        mEvidence.retain(LATER_RUN::equals);
        assertThat(mEvidence.isDoubted(RUN)).isFalse();
        assertThat(mEvidence.isStatedSince(LATER_RUN, 1)).isTrue();
    }
}
