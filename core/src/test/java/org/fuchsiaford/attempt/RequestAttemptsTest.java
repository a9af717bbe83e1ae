package org.fuchsiaford.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
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

    private static final BackendServerId FIRST = new BackendServerId("s1");
    private static final BackendServerId SECOND = new BackendServerId("s2");

    @Property(seed = "22")
    void attemptsInProgressCountAsPossiblyRun(
            @ForAll RequestKind kind, @ForAll @IntRange(min = 1, max = 3) int maxServers) {
        RequestAttempts attempts = new RequestAttempts(kind, maxServers);
        assertThat(attempts.tryBegin(FIRST)).isTrue();
        assertThat(attempts.mayHaveRun()).isTrue();
        assertThat(attempts.serversInProgress()).containsExactly(FIRST);
        assertThat(attempts.mayRetry()).isEqualTo(kind.isRepeatable() && maxServers > 1);
        attempts.record(FIRST, AttemptOutcome.NOT_SENT);
        assertThat(attempts.mayHaveRun()).isFalse();
        assertThat(attempts.mayRetry()).isTrue();
    }

    @Property(seed = "23")
    void noMoreServersBeginThanAreAllowed(
            @ForAll RequestKind kind,
            @ForAll @IntRange(min = 1, max = 3) int maxServers,
            @ForAll @Size(min = 1, max = 8) List<@IntRange(max = 5) Integer> servers) {
        RequestAttempts attempts = new RequestAttempts(kind, maxServers);
        Set<BackendServerId> begun =
                servers.stream()
                        .map(number -> new BackendServerId("s" + number))
                        .filter(attempts::tryBegin)
                        .collect(Collectors.toSet());
        assertThat(begun.size()).isLessThanOrEqualTo(kind.isRepeatable() ? maxServers : 1);
    }

    @Example
    void nothingIsRejectedWhileAnAttemptIsInProgress() {
        RequestAttempts attempts = new RequestAttempts(RequestKind.REPEATABLE, 2);
        attempts.tryBegin(FIRST);
        attempts.tryBegin(SECOND);
        attempts.record(SECOND, AttemptOutcome.NOT_RUN);
        assertThat(attempts.nextStep(AttemptOutcome.NOT_RUN, false)).isEqualTo(NextStep.FAIL);
        assertThat(attempts.closeIfNotRun()).isFalse();
    }

    @Example
    void anAttemptThatEndsLeavesAnotherAtTheSameServerInProgress() {
        RequestAttempts attempts = new RequestAttempts(RequestKind.REPEATABLE, 2);
        attempts.tryBegin(FIRST);
        attempts.tryBegin(FIRST);
        attempts.record(FIRST, AttemptOutcome.NOT_RUN);
        assertThat(attempts.mayHaveRun()).isTrue();
    }

    @Example
    void noAttemptBeginsOnceARequestWasClosed() {
        RequestAttempts attempts = new RequestAttempts(RequestKind.REPEATABLE, 2);
        attempts.tryBegin(FIRST);
        attempts.record(FIRST, AttemptOutcome.NOT_RUN);
        assertThat(attempts.closeIfNotRun()).isTrue();
        assertThat(attempts.tryBegin(SECOND)).isFalse();
        assertThat(attempts.mayHaveRun()).isFalse();
    }
}
