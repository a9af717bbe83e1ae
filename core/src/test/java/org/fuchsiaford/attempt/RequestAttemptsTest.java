package org.fuchsiaford.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.routing.RequestKind;

/** Checks the decision after every attempt, for arbitrary sequences of outcomes. */
class RequestAttemptsTest {
    @Property(seed = "21")
    void retriesOnlyRepeatableRequestsAndRefusesOnlyUnexecutedOnes(
            @ForAll RequestKind kind,
            @ForAll @IntRange(min = 1, max = 3) int maxServers,
            @ForAll boolean retryAllowed,
            @ForAll @Size(min = 1, max = 8) List<AttemptOutcome> outcomes) {
        RequestAttempts attempts = new RequestAttempts(kind, maxServers);
        Set<BackendServerId> mayHaveRun = new HashSet<>();
        int server = 0;
        for (AttemptOutcome outcome : outcomes) {
            BackendServerId id = new BackendServerId("s" + server++);
            attempts.record(id, outcome);
            if (outcome.mayHaveRun()) {
                mayHaveRun.add(id);
            }
            assertThat(mayHaveRun.size()).isLessThanOrEqualTo(maxServers);
            assertThat(kind.isRepeatable() || mayHaveRun.size() <= 1).isTrue();
            NextStep next = attempts.nextStep(outcome, retryAllowed);
            if (next == NextStep.REFUSE) {
                assertThat(mayHaveRun).isEmpty();
            }
            if (next == NextStep.ANSWER) {
                assertThat(outcome).isIn(AttemptOutcome.ANSWERED, AttemptOutcome.SERVER_ERROR);
            }
            if (next != NextStep.TRY_AGAIN) {
                return;
            }
            assertThat(retryAllowed).isTrue();
        }
    }
}
