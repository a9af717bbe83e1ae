package org.fuchsiaford.fairness;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.fairness.FairAccounts.Rank;
import org.fuchsiaford.workspace.WorkspaceId;

/** The weights of kinds and the ranks of requests. */
class FairAccountsTest {
    private static final long NOW = TimeUnit.SECONDS.toNanos(1);
    private static final Kind URGENT = new Kind("urgent", 0);
    private static final Kind BATCH = new Kind("batch", 3);

    private final FairAccounts mAccounts = new FairAccounts();

    private static Claim claim(Kind kind, String workspace, String domain, long tokens) {
        return new Claim(
                kind,
                Optional.of(new WorkspaceId(workspace)),
                1,
                new FailureDomainId(domain),
                tokens);
    }

    private void ask(Claim claim, int asked, int served) {
        for (int i = 0; i < asked; i++) {
            mAccounts.recordAsked(claim, NOW);
            if (i < served) {
                mAccounts.recordServed(claim, NOW);
            }
        }
    }

    /** The floor of a kind follows from the weights: a quarter of the mean is required. */
    @Example
    void urgencyRaisesTheWeightByAtMostThree() {
        ask(claim(URGENT, "a", "d", 1_000), 10, 10);
        ask(claim(BATCH, "a", "d", 1_000), 10, 10);
        double ratio = mAccounts.weight(URGENT) / mAccounts.weight(BATCH);
        assertThat(ratio).isGreaterThan(1).isLessThanOrEqualTo(3);
        assertThat(new Kind("last", Integer.MAX_VALUE).urgency()).isGreaterThanOrEqualTo(1);
    }

    /** A workspace must not gain capacity for its kind by asking for more. */
    @Example
    void whatIsAskedBeyondTheShareAddsNoWeight() {
        ask(claim(URGENT, "a", "d", 1_000), 10, 0);
        ask(claim(URGENT, "b", "d", 1_000), 10, 0);
        ask(claim(URGENT, "c", "d", 1_000), 10, 0);
        double usual = mAccounts.weight(URGENT);
        ask(claim(URGENT, "a", "d", 1_000), 90, 0);
        assertThat(mAccounts.weight(URGENT)).isLessThan(usual * 3);
    }

    @Example
    void aWorkspaceOverItsShareGoesLastExceptForItsFloor() {
        ask(claim(URGENT, "a", "d", 1_000), 10, 5);
        ask(claim(URGENT, "b", "d", 1_000), 40, 30);
        assertThat(mAccounts.rank(claim(URGENT, "b", "d", 1_000))).isEqualTo(Rank.OVER_SHARE);
        assertThat(mAccounts.rank(claim(URGENT, "a", "d", 1_000))).isEqualTo(Rank.EVEN);
        ask(claim(URGENT, "b", "d", 1_000), 400, 0);
        ask(claim(URGENT, "a", "d", 1_000), 1, 1);
        assertThat(mAccounts.rank(claim(URGENT, "b", "d", 1_000))).isEqualTo(Rank.OVER_SHARE);
        ask(claim(BATCH, "b", "d", 1_000), 400, 0);
        ask(claim(BATCH, "a", "d", 1_000), 400, 400);
        assertThat(mAccounts.rank(claim(BATCH, "b", "d", 1_000))).isNotEqualTo(Rank.OVER_SHARE);
    }

    /** Small requests fit more easily, so large ones would fall back. */
    @Example
    void aSizeOrFailureDomainThatIsBehindGoesFirst() {
        ask(claim(URGENT, "a", "d", 1_000), 40, 30);
        ask(claim(URGENT, "a", "d", 9_000), 10, 2);
        ask(claim(URGENT, "a", "far", 1_000), 20, 1);
        assertThat(mAccounts.rank(claim(URGENT, "a", "d", 9_000))).isEqualTo(Rank.BEHIND);
        assertThat(mAccounts.rank(claim(URGENT, "a", "far", 1_000))).isEqualTo(Rank.BEHIND);
        assertThat(mAccounts.rank(claim(URGENT, "a", "d", 1_000))).isEqualTo(Rank.EVEN);
    }

    /**
     * A caller that returns must not find its account empty, nor an old burst be held against it.
     */
    @Example
    void accountsOutliveTheirRequestsButNotForLong() {
        ask(claim(URGENT, "a", "d", 1_000), 10, 5);
        ask(claim(URGENT, "b", "d", 1_000), 40, 30);
        Claim back = claim(URGENT, "b", "d", 1_000);
        mAccounts.recordAsked(back, NOW + TimeUnit.SECONDS.toNanos(2));
        assertThat(mAccounts.rank(back)).isEqualTo(Rank.OVER_SHARE);
        mAccounts.recordAsked(back, NOW + TimeUnit.SECONDS.toNanos(120));
        mAccounts.recordServed(back, NOW + TimeUnit.SECONDS.toNanos(120));
        assertThat(mAccounts.rank(back)).isEqualTo(Rank.EVEN);
    }
}
