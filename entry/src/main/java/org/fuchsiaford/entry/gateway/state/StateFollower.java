package org.fuchsiaford.entry.gateway.state;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.fleet.HostRecord;
import org.fuchsiaford.registry.ServerRegistry;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.store.StoreChange;
import org.fuchsiaford.store.StoreKey;
import org.fuchsiaford.store.StoreKeys;
import org.fuchsiaford.store.StoreLeaseId;
import org.fuchsiaford.store.StoreRevision;
import org.fuchsiaford.store.StoreSnapshot;
import org.fuchsiaford.time.Ticker;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Keeps a {@link GatewayState} up to date from the store, and this host registered there.
 *
 * <p>Invariant: when the store responds again after an outage in which leases may have expired, the
 * registry is first told to retain missing servers until they have had time to register again, and
 * then the whole store is read again. The same holds when a new era of the store begins, in which
 * this host also registers again. Thread-safe.
 */
public final class StateFollower {
    /**
     * An unavailable store, and connections that have fallen silent, are detected within this time
     * plus the timeout of a call.
     */
    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(1_000);

    /** Leases do not expire in a shorter time without contact, and a slow call is no outage. */
    private static final long MIN_OUTAGE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** No server starts anew in a shorter time, so that its registration would be missing. */
    private static final long MIN_LOSS_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final Duration MIN_REOPEN_DELAY = Duration.ofMillis(200);

    /** A store that rejects reads is retried about once a second. */
    private static final Duration MAX_REOPEN_DELAY = Duration.ofMillis(1_000);

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
    private volatile Duration mReopenDelay = MIN_REOPEN_DELAY;
    private volatile boolean mWatchesPrefixes;
    private volatile long mEra = StoreRevision.FIRST_ERA;
    private boolean mUnavailable;
    private long mLostNanos;
    private Optional<Long> mRegainedNanos = Optional.empty();
    private OptionalLong mLastCurrentNanos = OptionalLong.empty();
    private boolean mMayHaveExpired;

    /**
     * Creates a follower; it is inactive until {@link #start} is called.
     *
     * @param registrationSeconds the duration of the lease of the registration, in seconds
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

    /** Starts to watch the store and registers the host. */
    public void start() {
        openWatch();
        mRegistration.update(
                Mono.defer(this::renew)
                        .onErrorResume(e -> Mono.fromRunnable(() -> markUnavailable(e)))
                        .then(Mono.delay(RENEWAL_INTERVAL))
                        .repeat()
                        .subscribe());
    }

    /** Stops and revokes the lease of the registration, which deletes the registration. */
    public Mono<Void> stop() {
        mWatch.dispose();
        mRegistration.dispose();
        StoreLeaseId lease = lease();
        return lease.equals(StoreLeaseId.NONE)
                ? Mono.empty()
                : mStore.revokeLease(lease)
                        .onErrorResume(e -> Mono.fromRunnable(() -> markUnavailable(e)));
    }

    private void openWatch() {
        mWatch.update(
                Mono.defer(this::readAndWatch)
                        .onErrorResume(e -> Mono.fromRunnable(() -> logWatchEnd(e)))
                        .then(Mono.defer(() -> Mono.delay(nextReopenDelay())))
                        .repeat()
                        .subscribe());
    }

    private Duration nextReopenDelay() {
        Duration delay = mReopenDelay;
        Duration doubled = delay.multipliedBy(2);
        mReopenDelay = doubled.compareTo(MAX_REOPEN_DELAY) > 0 ? MAX_REOPEN_DELAY : doubled;
        return delay;
    }

    private Mono<Void> readAndWatch() {
        recordSilence();
        return readAll()
                .doOnError(this::markUnavailable)
                .doOnNext(
                        snapshot -> {
                            markAvailable(false);
                            mReopenDelay = MIN_REOPEN_DELAY;
                            followEra();
                            mState.applySnapshot(snapshot.revision(), snapshot.entries());
                        })
                .flatMapMany(snapshot -> watch(snapshot.revision() + 1))
                .doOnNext(this::applyChange)
                .then();
    }

    /** Returns whether a new era has begun; servers that it lacks have time to register again. */
    private boolean followEra() {
        long era = mStore.era();
        synchronized (this) {
            if (era == mEra) {
                return false;
            }
            mEra = era;
            mLastCurrentNanos = OptionalLong.empty();
            mRegainedNanos = Optional.of(mTicker.nowNanos());
        }
        mLog.write(new Decision.StoreSeen("restored", "era " + era));
        mState.servers().retainRemoved(mTicker.nowNanos());
        return true;
    }

    private List<StoreKey> prefixes() {
        return Stream.concat(mState.decodedPrefixes().stream(), Stream.of(StoreKeys.WATCHED_PREFIX))
                .toList();
    }

    /** Reads all entries that the state consists of, as one snapshot of the oldest revision. */
    private Mono<StoreSnapshot> readAll() {
        return Flux.fromIterable(prefixes())
                .flatMapSequential(mStore::readPrefix)
                .collectList()
                .map(
                        snapshots ->
                                new StoreSnapshot(
                                        snapshots.stream()
                                                .mapToLong(StoreSnapshot::revision)
                                                .min()
                                                .orElse(0),
                                        snapshots.stream()
                                                .flatMap(s -> s.entries().stream())
                                                .toList()));
    }

    /**
     * Watches the whole store by one call, or by one for each prefix while streams are recorded,
     * which would wake the watch of the whole store several times a second.
     */
    private Flux<StoreChange> watch(long fromRevision) {
        mWatchesPrefixes = mState.versions().isAnyMixed();
        return mWatchesPrefixes
                ? Flux.merge(
                        prefixes().stream()
                                .map(prefix -> mStore.watch(prefix, fromRevision))
                                .toList())
                : mStore.watch(StoreKey.ALL, fromRevision);
    }

    private void applyChange(StoreChange change) {
        markAvailable(false);
        mState.apply(change);
        if (mState.versions().isAnyMixed() != mWatchesPrefixes) {
            openWatch();
        }
    }

    /**
     * Returns whether the registry is up to date, as far as this host can tell: the store answers,
     * and after an outage or in a new era servers have had time to register again.
     */
    public synchronized boolean isRegistryCurrent() {
        long nowNanos = mTicker.nowNanos();
        return !mUnavailable
                && mRegainedNanos
                        .filter(n -> nowNanos - n < ServerRegistry.RETENTION_NANOS)
                        .isEmpty();
    }

    /**
     * Returns the latest time as of which the registry is known to have been up to date, on the
     * monotonic clock.
     */
    public synchronized OptionalLong registryCurrentNanos() {
        return isRegistryCurrent() ? mStore.lastResponseNanos() : mLastCurrentNanos;
    }

    private Mono<Void> renew() {
        recordSilence();
        StoreLeaseId lease = lease();
        if (lease.equals(StoreLeaseId.NONE)) {
            return register();
        }
        return mStore.keepAlive(lease)
                .doOnNext(
                        alive -> {
                            markAvailable(true);
                            if (!alive) {
                                setLease(StoreLeaseId.NONE);
                            }
                        })
                .doFinally(signal -> reopenInNewEra())
                .filter(alive -> !alive)
                .flatMap(ended -> register());
    }

    /** A watch of a former era may stay open without ever reporting a change. */
    private void reopenInNewEra() {
        if (followEra()) {
            openWatch();
        }
    }

    /** Registers under a new lease; a record under a former lease of this host is replaced. */
    private Mono<Void> register() {
        StoreKey key = StoreKeys.HOST_PREFIX.append(mSelf.id().value());
        return mStore.grantLease(mRegistrationSeconds)
                .flatMap(
                        lease ->
                                mStore.read(List.of(key))
                                        .flatMap(former -> writeSelf(key, former, lease))
                                        .doOnNext(written -> keepLease(lease, written)))
                .then();
    }

    private Mono<Boolean> writeSelf(StoreKey key, StoreSnapshot former, StoreLeaseId lease) {
        return Mono.fromCallable(this::encodeSelf)
                .flatMap(value -> mStore.compareAndSwap(key, former.revisionOf(key), value, lease));
    }

    private byte[] encodeSelf() throws JsonProcessingException {
        return MAPPER.writeValueAsBytes(mSelf);
    }

    /** Keeps the lease of a registration that was written; else the next renewal tries again. */
    private void keepLease(StoreLeaseId lease, boolean written) {
        markAvailable(true);
        setLease(written ? lease : StoreLeaseId.NONE);
    }

    private synchronized StoreLeaseId lease() {
        return mLease;
    }

    private synchronized void setLease(StoreLeaseId lease) {
        mLease = lease;
    }

    /**
     * Logs the end of a watch. This does not mark the store as unavailable, since a watch may be
     * cut while the store is available; only a failed call proves an outage.
     */
    private void logWatchEnd(Throwable cause) {
        mLog.write(new Decision.StoreSeen("watch-ended", String.valueOf(cause.getMessage())));
    }

    /** Records whether the store has been silent for long; must be called before each call. */
    private synchronized void recordSilence() {
        OptionalLong lastResponseNanos = mStore.lastResponseNanos();
        mMayHaveExpired |=
                lastResponseNanos.isEmpty()
                        || mTicker.nowNanos() - lastResponseNanos.getAsLong() >= MIN_OUTAGE_NANOS;
    }

    private synchronized void markUnavailable(Throwable cause) {
        if (!mUnavailable) {
            mLastCurrentNanos = registryCurrentNanos();
            mUnavailable = true;
            mLostNanos = mTicker.nowNanos();
            mLog.write(new Decision.StoreSeen("lost", String.valueOf(cause.getMessage())));
        }
    }

    /**
     * Records that the store responds.
     *
     * @param reopen whether to open the watch again after an outage, since a watch that was opened
     *     before may never report a change
     */
    private void markAvailable(boolean reopen) {
        boolean mayHaveExpired;
        synchronized (this) {
            mayHaveExpired = mMayHaveExpired;
            mMayHaveExpired = false;
            if (!mUnavailable) {
                return;
            }
            mUnavailable = false;
            long nowNanos = mTicker.nowNanos();
            if (nowNanos - mLostNanos >= MIN_LOSS_NANOS) {
                mRegainedNanos = Optional.of(nowNanos);
            }
        }
        mLog.write(new Decision.StoreSeen("regained", null));
        if (mayHaveExpired) {
            mState.servers().retainRemoved(mTicker.nowNanos());
        }
        if (reopen) {
            openWatch();
        }
    }
}
