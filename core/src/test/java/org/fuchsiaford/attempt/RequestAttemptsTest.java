package org.fuchsiaford.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;
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

    @Property(seed = "22")
    void attemptsInProgressCountAsPossiblyRun(
            @ForAll RequestKind kind, @ForAll @IntRange(min = 1, max = 3) int maxServers) {
        RequestAttempts attempts = new RequestAttempts(kind, maxServers);
        BackendServerId first = new BackendServerId("s1");
        attempts.begin(first);
        assertThat(attempts.mayHaveRun()).isTrue();
        assertThat(attempts.triedServers()).containsExactly(first);
        assertThat(attempts.mayRetry()).isEqualTo(kind.isRepeatable() && maxServers > 1);
        attempts.record(first, AttemptOutcome.NOT_SENT);
        assertThat(attempts.mayHaveRun()).isFalse();
        assertThat(attempts.mayRetry()).isTrue();
    }

    @Example
    void nothingIsRejectedWhileAnAttemptIsInProgress() {
        RequestAttempts attempts = new RequestAttempts(RequestKind.REPEATABLE, 2);
        attempts.begin(new BackendServerId("s1"));
        attempts.begin(new BackendServerId("s2"));
        attempts.record(new BackendServerId("s2"), AttemptOutcome.NOT_RUN);
        assertThat(attempts.nextStep(AttemptOutcome.NOT_RUN, false)).isEqualTo(NextStep.FAIL);
    }
}
