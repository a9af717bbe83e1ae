package org.fuchsiaford.entry.gateway.state;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.time.Duration;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.fleet.HostRecord;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.store.StoreChange;
import org.fuchsiaford.store.StoreEntry;
import org.fuchsiaford.store.StoreKey;
import org.fuchsiaford.store.StoreKeys;
import org.fuchsiaford.store.StoreLeaseId;
import org.fuchsiaford.time.Ticker;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;

/**
 * Keeps a {@link GatewayState} up to date from the store and this host registered there.
 *
 * <p>Invariant: whenever the store answers again after a failure, the registry first keeps missing
 * servers for their time to return, and all is read anew. Thread-safe.
 */
public final class StateFollower {
    /** A lost store is noticed within this time and the time limit of a call. */
    private static final Duration RENEWAL = Duration.ofMillis(1_000);

    private static final Duration FIRST_REOPEN_PAUSE = Duration.ofMillis(200);

    /** A store that turns this host away is asked as often as the registration is renewed. */
    private static final Duration LONGEST_REOPEN_PAUSE = Duration.ofMillis(1_000);

    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final Store mStore;
    private final GatewayState mState;
    private final HostRecord mSelf;
    private final long mRegistrationSeconds;
    private final DecisionLog mLog;
    private final Ticker mTicker;
    private final Disposable.Swap mWatch = Disposables.swap();
    private final Disposable.Swap mRegistration = Disposables.swap();
    private StoreLeaseId mLease = StoreLeaseId.NONE;
    private volatile Duration mReopenPause = FIRST_REOPEN_PAUSE;
    private boolean mLost;

    /**
     * Creates a follower that does nothing yet.
     *
     * @param registrationSeconds the life of the registration without renewal
     */
    public StateFollower(
            Store store,
            GatewayState state,
            HostRecord self,
            long registrationSeconds,
            DecisionLog log,
            Ticker ticker) {
        mStore = store;
        mState = state;
        mSelf = self;
        mRegistrationSeconds = registrationSeconds;
        mLog = log;
        mTicker = ticker;
    }

    /** Starts to follow and registers the host. */
    public void start() {
        openWatch();
        mRegistration.update(
                Mono.defer(this::renew)
                        .onErrorResume(e -> Mono.fromRunnable(() -> lost(e)))
                        .then(Mono.delay(RENEWAL))
                        .repeat()
                        .subscribe());
    }

    /** Stops following; the registration ends with its lease. */
    public Mono<Void> stop() {
        mWatch.dispose();
        mRegistration.dispose();
        StoreLeaseId lease = lease();
        return lease.equals(StoreLeaseId.NONE)
                ? Mono.empty()
                : mStore.revokeLease(lease).onErrorResume(e -> Mono.fromRunnable(() -> lost(e)));
    }

    private void openWatch() {
        mWatch.update(
                Mono.defer(this::readAndWatch)
                        .onErrorResume(e -> Mono.fromRunnable(() -> reopened(e)))
                        .then(Mono.defer(() -> Mono.delay(nextReopenPause())))
                        .repeat()
                        .subscribe());
    }

    private Duration nextReopenPause() {
        Duration pause = mReopenPause;
        Duration doubled = pause.multipliedBy(2);
        mReopenPause = doubled.compareTo(LONGEST_REOPEN_PAUSE) > 0 ? LONGEST_REOPEN_PAUSE : doubled;
        return pause;
    }

    private Mono<Void> readAndWatch() {
        return mStore.readPrefix(StoreKey.ALL)
                .doOnError(this::lost)
                .doOnNext(
                        snapshot -> {
                            reached(false);
                            mReopenPause = FIRST_REOPEN_PAUSE;
                            mState.applySnapshot(snapshot.revision(), snapshot.entries());
                        })
                .flatMapMany(snapshot -> mStore.watch(StoreKey.ALL, snapshot.revision() + 1))
                .doOnNext(this::take)
                .then();
    }

    private void take(StoreChange change) {
        reached(false);
        mState.apply(change);
    }

    private Mono<Void> renew() {
        StoreLeaseId lease = lease();
        if (lease.equals(StoreLeaseId.NONE)) {
            return register();
        }
        return mStore.keepAlive(lease)
                .doOnNext(
                        alive -> {
                            reached(true);
                            if (!alive) {
                                setLease(StoreLeaseId.NONE);
                            }
                        })
                .filter(alive -> !alive)
                .flatMap(ended -> register());
    }

    private Mono<Void> register() {
        StoreKey key = StoreKeys.HOST_PREFIX.append(mSelf.id().value());
        return Mono.fromCallable(this::encodeSelf)
                .flatMap(
                        value ->
                                mStore.grantLease(mRegistrationSeconds)
                                        .flatMap(
                                                lease ->
                                                        mStore.compareAndSwap(
                                                                        key,
                                                                        StoreEntry.ABSENT_REVISION,
                                                                        value,
                                                                        lease)
                                                                .doOnNext(
                                                                        done -> keep(lease, done))))
                .then();
    }

    private byte[] encodeSelf() throws JsonProcessingException {
        return MAPPER.writeValueAsBytes(mSelf);
    }

    /** A registration that is still there under a lost lease goes when that lease ends. */
    private void keep(StoreLeaseId lease, boolean done) {
        reached(true);
        setLease(done ? lease : StoreLeaseId.NONE);
    }

    private synchronized StoreLeaseId lease() {
        return mLease;
    }

    private synchronized void setLease(StoreLeaseId lease) {
        mLease = lease;
    }

    /** A watch may be cut while the store is well; only failed calls prove that it is lost. */
    private void reopened(Throwable cause) {
        mLog.write(new Decision.StoreSeen("watch-ended", String.valueOf(cause.getMessage())));
    }

    private synchronized void lost(Throwable cause) {
        if (!mLost) {
            mLost = true;
            mLog.write(new Decision.StoreSeen("lost", String.valueOf(cause.getMessage())));
        }
    }

    /** Takes note that the store answers; a watch opened before a failure may be silent. */
    private void reached(boolean reopen) {
        synchronized (this) {
            if (!mLost) {
                return;
            }
            mLost = false;
        }
        mLog.write(new Decision.StoreSeen("regained", null));
        mState.servers().retainRemoved(mTicker.nowNanos());
        if (reopen) {
            openWatch();
        }
    }
}
