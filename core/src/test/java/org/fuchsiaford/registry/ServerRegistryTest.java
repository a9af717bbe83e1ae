package org.fuchsiaford.registry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiaford.TestServers.SERVICE;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.fuchsiaford.TestServers;

/** Usable servers when registry entries change, are removed and return. */
class ServerRegistryTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final ServerRegistry mRegistry = new ServerRegistry();
    private final LiveServer mServer = TestServers.plain("s", "here");
    private final LiveServer mDraining = TestServers.server("s", "here", Optional.empty(), true, 1);

    @Example
    void anOlderReportChangesNothing() {
        mRegistry.put(mDraining, 5);
        assertThat(mRegistry.put(mServer, 4)).isFalse();
        assertThat(mRegistry.remove(mServer.id(), 4, 0)).isFalse();
        assertThat(mRegistry.usable(SERVICE, 0)).isEmpty();
    }

    @Example
    void aRemovedServerIsDroppedAtOnceAndNotRestoredByALateReport() {
        mRegistry.put(mServer, 1);
        mRegistry.remove(mServer.id(), 3, 0);
        assertThat(mRegistry.usable(SERVICE, 0)).isEmpty();
        assertThat(mRegistry.put(mServer, 2)).isFalse();
        assertThat(mRegistry.usable(SERVICE, 0)).isEmpty();
    }

    @Example
    void aServerMissingAfterAnOutageIsRetainedForTheRetentionTime() {
        mRegistry.put(mServer, 1);
        mRegistry.retainRemoved(0);
        mRegistry.removeMissing(mServer.id(), 2, MILLI);
        assertThat(mRegistry.usable(SERVICE, 2_000 * MILLI)).containsExactly(mServer);
        assertThat(mRegistry.isUsable(mServer, 2_000 * MILLI)).isTrue();
        assertThat(mRegistry.usable(SERVICE, 2_400 * MILLI)).isEmpty();
        assertThat(mRegistry.isUsable(mServer, 2_400 * MILLI)).isFalse();
    }

    /** Guards against requests to a server that left after the store was taken to be away. */
    @Example
    void aServerRemovedAfterAnOutageIsRetainedForLessThanItsDrainTime() {
        mRegistry.put(mServer, 1);
        mRegistry.retainRemoved(0);
        mRegistry.remove(mServer.id(), 2, 400 * MILLI);
        assertThat(mRegistry.usable(SERVICE, 2_100 * MILLI)).containsExactly(mServer);
        assertThat(mRegistry.usable(SERVICE, 2_200 * MILLI)).isEmpty();
        assertThat(mRegistry.isUsable(mServer, 2_200 * MILLI)).isFalse();
    }

    @Example
    void aServerRemovedLaterThanTheRetentionTimeIsDroppedAtOnce() {
        mRegistry.put(mServer, 1);
        mRegistry.retainRemoved(0);
        mRegistry.remove(mServer.id(), 2, 2_400 * MILLI);
        assertThat(mRegistry.usable(SERVICE, 2_400 * MILLI)).isEmpty();
    }

    @Example
    void aDrainingServerIsNotRetained() {
        mRegistry.put(mDraining, 1);
        mRegistry.retainRemoved(0);
        mRegistry.remove(mServer.id(), 2, MILLI);
        assertThat(mRegistry.usable(SERVICE, MILLI)).isEmpty();
    }

    @Example
    void anotherRunUnderTheSameIdIsNotTheServerThatWasPicked() {
        mRegistry.put(mServer, 1);
        LiveServer restarted = TestServers.server("s", "here", Optional.empty(), false, 2);
        mRegistry.put(restarted, 2);
        assertThat(mRegistry.isUsable(mServer, 0)).isFalse();
        assertThat(mRegistry.isUsable(restarted, 0)).isTrue();
    }

    @Example
    void aRunThatIsLeavingIsNotUsedAgainWhateverItsEntrySays() {
        ServerRun run = new ServerRun(mServer.id(), mServer.startedMillis());
        assertThat(mRegistry.markLeaving(run)).isFalse();
        mRegistry.put(mServer, 1);
        assertThat(mRegistry.markLeaving(run)).isTrue();
        assertThat(mRegistry.markLeaving(run)).isFalse();
        assertThat(mRegistry.leaving()).containsExactly(run);
        mRegistry.put(mServer, 2);
        assertThat(mRegistry.usable(SERVICE, 0)).isEmpty();
        assertThat(mRegistry.isUsable(mServer, 0)).isFalse();
        mRegistry.remove(mServer.id(), 3, 0);
        assertThat(mRegistry.leaving()).isEmpty();
        mRegistry.put(mServer, 4);
        assertThat(mRegistry.usable(SERVICE, 0)).isEmpty();
    }

    @Example
    void aNewRunOfALeavingServerIsUsedAndALateReportOfTheOldOneIgnored() {
        ServerRun run = new ServerRun(mServer.id(), mServer.startedMillis());
        mRegistry.put(mServer, 1);
        mRegistry.markLeaving(run);
        long restartedMillis = mServer.startedMillis() + 1;
        LiveServer restarted =
                TestServers.server("s", "here", Optional.empty(), false, restartedMillis);
        mRegistry.put(restarted, 2);
        assertThat(mRegistry.markLeaving(run)).isFalse();
        assertThat(mRegistry.usable(SERVICE, 0)).containsExactly(restarted);
        assertThat(mRegistry.leaving()).isEmpty();
    }
}
