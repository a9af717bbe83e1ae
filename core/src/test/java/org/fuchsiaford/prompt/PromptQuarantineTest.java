package org.fuchsiaford.prompt;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.fuchsiaford.backend.BackendServerId;

/**
 * Guards against parts of prompts that crash one engine after the other, and against sound prompts
 * that are refused because engines crashed for another cause.
 */
class PromptQuarantineTest {
    private static final long MILLI = 1_000_000;
    private static final long SECOND = 1_000 * MILLI;
    private static final long PERIOD = 20 * SECOND;

    private final PromptQuarantine mQuarantine = new PromptQuarantine();
    private long mNowNanos = SECOND;
    private int mRequests;

    private static List<PromptPartId> prompt(String... parts) {
        return Arrays.stream(parts).map(PromptPartId::new).toList();
    }

    private static BackendServerId engine(int number) {
        return new BackendServerId("e" + number);
    }

    private String own() {
        return "own" + mRequests++;
    }

    private boolean isAdmitted(List<PromptPartId> prompt) {
        boolean admitted = mQuarantine.admit(prompt, mNowNanos) == 0;
        if (admitted) {
            mQuarantine.recordPlaced(mNowNanos);
        }
        return admitted;
    }

    /** A request that is answered at once, and complete after a second. */
    private void serve(String... sharedParts) {
        List<PromptPartId> prompt = withOwnPart(sharedParts);
        mQuarantine.recordPlaced(mNowNanos);
        long beganNanos = mNowNanos;
        mNowNanos += SECOND;
        mQuarantine.recordSurvival(prompt, beganNanos, mNowNanos);
    }

    private List<PromptPartId> withOwnPart(String... sharedParts) {
        String[] parts = Arrays.copyOf(sharedParts, sharedParts.length + 1);
        parts[sharedParts.length] = own();
        return prompt(parts);
    }

    private void crash(int engine, String... sharedParts) {
        mQuarantine.recordBrokenStream(engine(engine), withOwnPart(sharedParts), mNowNanos);
    }

    private void serveForAWhile(String... sharedParts) {
        IntStream.range(0, 5).forEach(i -> serve(sharedParts));
    }

    @Example
    void aPartInTheCrashesOfTwoEnginesIsRefusedButNotTheOtherPartsOfItsPrompts() {
        serveForAWhile("shared");
        crash(1, "shared", "bad");
        assertThat(isAdmitted(withOwnPart("shared", "bad"))).isTrue();
        crash(2, "shared", "bad");
        assertThat(isAdmitted(withOwnPart("shared", "bad"))).isFalse();
        assertThat(isAdmitted(withOwnPart("other", "bad"))).isFalse();
        assertThat(isAdmitted(withOwnPart("shared"))).isTrue();
    }

    @Example
    void partsThatOnlyOccurTogetherAreRefusedTogether() {
        serveForAWhile("other");
        crash(1, "rare", "bad");
        crash(2, "rare", "bad");
        assertThat(isAdmitted(withOwnPart("rare", "bad"))).isFalse();
        assertThat(isAdmitted(withOwnPart("rare"))).isTrue();
        assertThat(isAdmitted(withOwnPart("other", "bad"))).isTrue();
        crash(3, "other", "bad");
        assertThat(isAdmitted(withOwnPart("other", "bad"))).isFalse();
        assertThat(isAdmitted(withOwnPart("rare"))).isTrue();
    }

    @Example
    void aPartThatHasBeenAnsweredSinceTheFirstCrashIsNotTheCause() {
        serveForAWhile("other");
        crash(1, "rare", "bad");
        serve("rare");
        crash(2, "rare", "bad");
        assertThat(isAdmitted(withOwnPart("other", "bad"))).isFalse();
        assertThat(isAdmitted(withOwnPart("rare"))).isTrue();
    }

    /** Engines of a failure domain that fail together break off streams with every part in use. */
    @Example
    void enginesThatFailTogetherPutNoPartInCommonUseInQuarantine() {
        serveForAWhile("shared");
        IntStream.range(0, 20).forEach(i -> crash(i, "shared"));
        mNowNanos += 2 * SECOND;
        IntStream.range(20, 40).forEach(i -> crash(i, "shared"));
        assertThat(isAdmitted(withOwnPart("shared"))).isTrue();
    }

    @Example
    void enginesThatFailTogetherRightAfterTheStartPutNoPartInQuarantine() {
        mQuarantine.recordPlaced(mNowNanos);
        IntStream.range(0, 20).forEach(i -> crash(i, "shared"));
        assertThat(isAdmitted(withOwnPart("shared"))).isTrue();
    }

    /** Nothing is known yet of which parts are in common use. */
    @Example
    void separateCrashesRightAfterTheStartAreEnoughAndClearedPartsAreNotRefused() {
        mQuarantine.recordPlaced(mNowNanos);
        for (int engine = 0; engine < 4; engine++) {
            assertThat(isAdmitted(withOwnPart("other", "bad"))).isTrue();
            crash(engine, "shared", "bad");
            serve("shared");
            mNowNanos += SECOND;
        }
        assertThat(isAdmitted(withOwnPart("other", "bad"))).isFalse();
        assertThat(isAdmitted(withOwnPart("shared"))).isTrue();
    }

    /** A part that was sound until now; it takes a few separate crashes until it is refused. */
    @Example
    void aPartInCommonUseIsRefusedAfterSeparateCrashesThatNoAnswerSurvives() {
        serveForAWhile("shared");
        int crashes = 0;
        while (isAdmitted(withOwnPart("shared"))) {
            crash(crashes++, "shared");
            mNowNanos += 1_100 * MILLI;
        }
        assertThat(crashes).isEqualTo(4);
    }

    @Property(seed = "47", tries = 200)
    void anAnswerThatSurvivesClearsTheEarlierCrashes(@ForAll @IntRange(max = 30) int rounds) {
        serveForAWhile("shared");
        for (int i = 0; i < rounds; i++) {
            crash(i, "shared");
            assertThat(isAdmitted(withOwnPart("shared"))).isTrue();
            mNowNanos += 1_100 * MILLI;
            serve("shared");
            assertThat(isAdmitted(withOwnPart("shared"))).isTrue();
        }
    }

    /** Streams beside the cause break off with it, and may be resumed beside it once more. */
    @Example
    void aPromptThatWasTwiceBesideTheCauseIsNotRefused() {
        serveForAWhile("shared");
        List<PromptPartId> victim = prompt("victim", "own");
        for (int engine = 1; engine <= 3; engine++) {
            mQuarantine.recordBrokenStream(engine(engine), victim, mNowNanos);
            crash(engine, "shared", "bad");
            mNowNanos += 200 * MILLI;
        }
        assertThat(isAdmitted(victim)).isTrue();
        assertThat(isAdmitted(withOwnPart("victim"))).isTrue();
        assertThat(isAdmitted(withOwnPart("bad"))).isFalse();
    }

    @Example
    void aPromptThatIsSentAgainUnchangedIsRefusedAfterThreeEngines() {
        serveForAWhile("shared");
        List<PromptPartId> bad = prompt("shared", "own");
        for (int engine = 1; engine <= 3; engine++) {
            assertThat(isAdmitted(bad)).isTrue();
            mQuarantine.recordBrokenStream(engine(engine), bad, mNowNanos);
            mNowNanos += 200 * MILLI;
        }
        assertThat(isAdmitted(bad)).isFalse();
        assertThat(isAdmitted(withOwnPart("shared"))).isTrue();
    }

    @Example
    void oneRequestIsAdmittedAgainInEachPeriodAndPeriodsDouble() {
        serveForAWhile("shared");
        crash(1, "shared", "bad");
        crash(2, "shared", "bad");
        long admitted = 0;
        for (int second = 0; second < 600; second++) {
            mNowNanos += SECOND;
            if (isAdmitted(withOwnPart("shared", "bad"))) {
                admitted++;
                crash(3 + second, "shared", "bad");
            }
        }
        // After 20, 40, 80, 160 seconds; the next period ends after the end.
        assertThat(admitted).isEqualTo(4);
    }

    @Example
    void aTrialThatSurvivesEndsTheQuarantine() {
        serveForAWhile("shared");
        crash(1, "shared", "bad");
        crash(2, "shared", "bad");
        mNowNanos += PERIOD;
        assertThat(isAdmitted(withOwnPart("shared", "bad"))).isTrue();
        assertThat(isAdmitted(withOwnPart("shared", "bad"))).isFalse();
        serve("shared", "bad");
        assertThat(isAdmitted(withOwnPart("shared", "bad"))).isTrue();
        assertThat(isAdmitted(withOwnPart("shared", "bad"))).isTrue();
    }

    @Example
    void aTrialWithoutAResultIsFollowedByAnother() {
        serveForAWhile("shared");
        crash(1, "shared", "bad");
        crash(2, "shared", "bad");
        mNowNanos += PERIOD;
        assertThat(isAdmitted(withOwnPart("shared", "bad"))).isTrue();
        mNowNanos += 11 * SECOND;
        assertThat(isAdmitted(withOwnPart("shared", "bad"))).isTrue();
    }

    @Example
    void anotherHostAdoptsAQuarantineAndItsEchoDoesNotProlongIt() {
        serveForAWhile("shared");
        crash(1, "shared", "bad");
        crash(2, "shared", "bad");
        PromptQuarantine other = new PromptQuarantine();
        for (int second = 0; second < 20; second++) {
            other.merge(mQuarantine.list(mNowNanos), mNowNanos + SECOND / 2);
            mQuarantine.merge(other.list(mNowNanos + SECOND / 2), mNowNanos + SECOND / 2);
            assertThat(other.admit(withOwnPart("bad"), mNowNanos + SECOND / 2)).isPositive();
            mNowNanos += SECOND;
        }
        assertThat(isAdmitted(withOwnPart("bad"))).isTrue();
        assertThat(mQuarantine.list(mNowNanos)).isEmpty();
    }

    @Example
    void whatIsRememberedIsBounded() {
        serveForAWhile("shared");
        for (int i = 0; i < 10_000; i++) {
            mNowNanos += 10 * MILLI;
            crash(i, "bad" + i / 3);
        }
        assertThat(mQuarantine.size()).isLessThanOrEqualTo(64);
        assertThat(mQuarantine.drainChanges()).hasSizeLessThanOrEqualTo(256);
    }

    @Example
    void requestsWithoutPartsAreNeverRefused() {
        serveForAWhile("shared");
        IntStream.range(0, 9)
                .forEach(i -> mQuarantine.recordBrokenStream(engine(i), List.of(), mNowNanos));
        assertThat(isAdmitted(List.of())).isTrue();
        mQuarantine.merge(List.of(new QuarantinedPrompt(Set.of(), 1, 1_000)), mNowNanos);
        assertThat(isAdmitted(List.of())).isTrue();
    }

    private static PromptPartId request(String body) {
        return RequestFingerprint.of(Optional.empty(), "POST h/x", body.getBytes());
    }

    private void crashUnder(int server, String body) {
        mQuarantine.recordBrokenStream(engine(server), List.of(request(body)), mNowNanos);
        mNowNanos += 100 * MILLI;
    }

    private boolean isRequestAdmitted(String body) {
        return isAdmitted(List.of(request(body)));
    }

    @Example
    void aRequestUnderWhichThreeServersCrashedIsRefusedEvenIfNothingElseIsKnown() {
        crashUnder(1, "bad");
        crashUnder(2, "bad");
        assertThat(isRequestAdmitted("bad")).isTrue();
        crashUnder(3, "bad");
        assertThat(isRequestAdmitted("bad")).isFalse();
        assertThat(isRequestAdmitted("sound")).isTrue();
    }

    @Example
    void aRequestThatRanBesideTheCauseIsAdmitted() {
        IntStream.rangeClosed(1, 3)
                .forEach(
                        server -> {
                            crashUnder(server, "beside" + Math.min(server, 2));
                            mNowNanos -= 100 * MILLI;
                            crashUnder(server, "bad");
                        });
        assertThat(isRequestAdmitted("bad")).isFalse();
        assertThat(isRequestAdmitted("beside1")).isTrue();
        assertThat(isRequestAdmitted("beside2")).isTrue();
    }

    @Example
    void aRequestInCommonUseIsAdmittedAlthoughServersCrashedUnderIt() {
        mQuarantine.recordSurvival(List.of(request("lookup")), mNowNanos, mNowNanos);
        mNowNanos += SECOND;
        IntStream.range(0, 3).forEach(server -> crashUnder(server, "lookup"));
        assertThat(isRequestAdmitted("lookup")).isTrue();
    }

    @Property(tries = 20, seed = "31")
    void aRequestThatComesAgainForHalfAnHourCrashesFewServers(
            @ForAll @IntRange(min = 50, max = 5_000) int pauseMillis) {
        long endNanos = mNowNanos + 1_800 * SECOND;
        int crashes = 0;
        while (mNowNanos < endNanos) {
            if (isRequestAdmitted("bad")) {
                crashUnder(crashes++, "bad");
            }
            mNowNanos += pauseMillis * MILLI;
        }
        assertThat(crashes).isLessThanOrEqualTo(3 + PromptQuarantine.MAX_REQUEST_TRIALS);
    }
}
