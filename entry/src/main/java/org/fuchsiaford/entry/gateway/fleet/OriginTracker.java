package org.fuchsiaford.entry.gateway.fleet;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.state.GatewayState;
import org.fuchsiaford.fleet.FleetView;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.peer.message.PeerMessage.OriginResponse;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.SoftwareVersion;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.store.StoreKeys;
import org.fuchsiaford.stream.BegunStreams;
import org.fuchsiaford.stream.ServedVersions;
import org.fuchsiaford.stream.ServerStreams;
import org.fuchsiaford.stream.StreamKey;
import org.fuchsiaford.stream.StreamOrigin;
import org.fuchsiaford.stream.StreamOrigins;
import org.fuchsiaford.stream.VersionRetention;
import org.fuchsiaford.time.Ticker;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Knows at which software version a stream began, so that it goes on at no other, whichever host a
 * caller takes it up at.
 *
 * <p>While a service serves one version, nothing is kept of a stream: it began at that version.
 * While it serves several, hosts report the streams that begin to the coordinators, and the first
 * coordinator stores them, since all hosts may lose their memory at once.
 *
 * <p>Invariant: a version is only stated if it is known; what is not known is not guessed.
 * Thread-safe.
 */
public final class OriginTracker {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

    /** Interval of checks that find nothing new to record. */
    private static final long ROUND_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Time for which a stream is reported; several heartbeats, since one may be lost. */
    private static final long REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);

    /** With this, the records of a fleet are fewer the more hosts it has. */
    private static final long FLUSH_NANOS_PER_HOST = TimeUnit.MILLISECONDS.toNanos(20);

    private static final long MAX_FLUSH_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Least time between two reads of the store for streams that are taken up or go on. */
    private static final long READ_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Time within which a coordinator answers, also if it reads the store. */
    private static final Duration READ_TIMEOUT = Duration.ofMillis(500);

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(700);

    /** Longer than a registration is out of date unless the store is away. */
    private static final long MAX_REGISTRY_AGE_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final FleetView mFleet;
    private final GatewayState mState;
    private final CoordinatorCalls mCalls;
    private final BooleanSupplier mIsStateCurrent;
    private final Supplier<OptionalLong> mRegistryCurrentNanos;
    private final Runnable mReportNow;
    private final DecisionLog mLog;
    private final Ticker mTicker;
    private final StreamOrigins mOrigins = new StreamOrigins();
    private final ServerStreams mServerStreams = new ServerStreams();
    private final VersionRecorder mRecorder;
    private final OriginRecords mRecords;
    private final SharedRead mRecordsRead;
    private final SharedRead mStateRead;
    private final Set<ServiceId> mMixed = new HashSet<>();
    private final Disposable.Swap mTicks = Disposables.swap();
    private long mLastRoundNanos;
    private long mLastRevision;
    private long mLastFlushNanos;
    private volatile boolean mHasUnreported;

    /**
     * Creates a tracker; it records nothing in the store until {@link #start}.
     *
     * @param isStateCurrent whether the state of this host is up to date, as far as it can tell
     * @param registryCurrentNanos the latest time as of which the registry is known to have been up
     *     to date, on the monotonic clock
     * @param reportNow reports what {@link #recent} returns to the coordinators; must not block
     * @param random a source of uniformly distributed random numbers from 0 to 1
     */
    public OriginTracker(
            FleetView fleet,
            GatewayState state,
            Store store,
            CoordinatorCalls calls,
            BooleanSupplier isStateCurrent,
            Supplier<OptionalLong> registryCurrentNanos,
            Runnable reportNow,
            DoubleSupplier random,
            DecisionLog log,
            Ticker ticker) {
        mFleet = fleet;
        mState = state;
        mCalls = calls;
        mIsStateCurrent = isStateCurrent;
        mRegistryCurrentNanos = registryCurrentNanos;
        mReportNow = reportNow;
        mLog = log;
        mTicker = ticker;
        mRecorder = new VersionRecorder(store, state, calls::isCoordinator, random, log, ticker);
        mRecords = new OriginRecords(store, fleet.self().id(), this::retentionNanos, log, ticker);
        mRecordsRead = new SharedRead(this::readRecords, READ_INTERVAL_NANOS, ticker);
        mStateRead =
                new SharedRead(
                        () -> store.read(List.of(StoreKeys.ORDER_HOLDER)).then(),
                        READ_INTERVAL_NANOS,
                        ticker);
    }

    /** Starts to record versions and streams. */
    public void start() {
        mTicks.update(Flux.interval(TICK_INTERVAL).subscribe(tick -> tick()));
    }

    /** Stops to record. */
    public void stop() {
        mTicks.dispose();
    }

    private long retentionNanos() {
        return VersionRetention.retentionNanos(
                mState.table().map(table -> table.maxTimeoutMillis()).orElse(0L));
    }

    private ServedVersions versions() {
        return mState.versions();
    }

    private void tick() {
        long nowNanos = mTicker.nowNanos();
        boolean isRound = nowNanos - mLastRoundNanos >= ROUND_NANOS;
        if (isRound || mState.lastChangeRevision() != mLastRevision) {
            mLastRevision = mState.lastChangeRevision();
            mRecorder.update();
            reportStreamsOfMixedServices(nowNanos);
        }
        if (isRound) {
            mLastRoundNanos = nowNanos;
            mOrigins.removeRecordedBefore(nowNanos - retentionNanos());
        }
        if (versions().isAnyMixed() && nowNanos - mLastFlushNanos >= flushNanos(nowNanos)) {
            mLastFlushNanos = nowNanos;
            mRecords.flush();
            if (mHasUnreported) {
                mHasUnreported = false;
                mReportNow.run();
            }
        }
    }

    private long flushNanos(long nowNanos) {
        return Math.min(MAX_FLUSH_NANOS, mFleet.presentCount(nowNanos) * FLUSH_NANOS_PER_HOST);
    }

    /** Reports the streams of this host that began before their service served two versions. */
    private synchronized void reportStreamsOfMixedServices(long nowNanos) {
        versions().services().stream()
                .filter(service -> versions().isMixed(service) && mMixed.add(service))
                .forEach(service -> reportAll(service, nowNanos));
        mMixed.removeIf(service -> !versions().isMixed(service));
    }

    private void reportAll(ServiceId service, long nowNanos) {
        List<BegunStreams> begun =
                mOrigins.recordedSince(
                        nowNanos - retentionNanos(), origin -> origin.service().equals(service));
        mOrigins.merge(begun, nowNanos);
        store(begun);
    }

    private void store(List<BegunStreams> begun) {
        if (mCalls.isCoordinator()) {
            mRecords.add(begun);
        }
    }

    /**
     * Records that a stream of this host has begun at a server. Its registration may turn out to
     * have been out of date.
     */
    public void record(StreamKey stream, LiveServer server) {
        long nowNanos = mTicker.nowNanos();
        StreamOrigin origin = StreamOrigin.of(server.service(), server.version());
        mServerStreams.record(stream, server.id(), nowNanos);
        mOrigins.record(stream, origin, nowNanos);
        report(stream, origin);
    }

    /**
     * Records that a stream of this host has begun, or goes on, at a server that has stated its run
     * since.
     *
     * @param version the version that began the stream
     */
    public void recordStated(StreamKey stream, ServiceId service, SoftwareVersion version) {
        StreamOrigin origin = StreamOrigin.of(service, version);
        mOrigins.recordStated(stream, origin, mTicker.nowNanos());
        report(stream, origin);
    }

    private void report(StreamKey stream, StreamOrigin origin) {
        if (versions().isMixed(origin.service())) {
            mHasUnreported = true;
            store(
                    List.of(
                            new BegunStreams(
                                    origin.service(),
                                    origin.version().orElse(null),
                                    List.of(stream))));
        }
    }

    /** Records that it is not known at which version a stream of this host has begun. */
    public void recordUnknown(StreamKey stream, ServiceId service) {
        addUnknown(service, List.of(stream));
    }

    private void addUnknown(ServiceId service, List<StreamKey> streams) {
        List<BegunStreams> unknown = List.of(new BegunStreams(service, null, streams));
        mOrigins.merge(unknown, mTicker.nowNanos());
        store(unknown);
    }

    /**
     * Records that another run of a server has registered. If it has another version, the latest
     * streams there may have begun at either.
     */
    public void serverStarted(LiveServer server, Optional<LiveServer> before) {
        long currentNanos = mRegistryCurrentNanos.get().orElse(mTicker.nowNanos());
        List<StreamKey> streams =
                mServerStreams.begunSince(server.id(), currentNanos - MAX_REGISTRY_AGE_NANOS);
        boolean isOtherVersion =
                before.filter(last -> !last.version().equals(server.version())).isPresent();
        if (isOtherVersion && !streams.isEmpty()) {
            addUnknown(server.service(), streams);
        }
    }

    /** Returns the streams that began lately, for coordinators. */
    public List<BegunStreams> recent() {
        return versions().isAnyMixed()
                ? mOrigins.recordedSince(
                        mTicker.nowNanos() - REPORT_NANOS,
                        origin -> versions().isMixed(origin.service()))
                : List.of();
    }

    /** Records what another host reports. */
    public void merge(List<BegunStreams> begun) {
        if (!begun.isEmpty()) {
            store(mOrigins.merge(begun, mTicker.nowNanos()));
        }
    }

    /** Returns at which version a stream began that a caller takes up at this host. */
    public Mono<OriginResponse> resolve(ServiceId service, StreamKey stream) {
        return Mono.defer(
                () -> {
                    Optional<OriginResponse> known = known(service, stream);
                    PeerMessage.FindOrigin message =
                            new PeerMessage.FindOrigin(mCalls.self().id(), service, stream);
                    return known.isPresent()
                            ? Mono.just(known.get())
                            : mCalls.remoteCoordinator()
                                    .map(
                                            coordinator ->
                                                    mCalls.call(
                                                            coordinator,
                                                            message,
                                                            OriginResponse.class,
                                                            CALL_TIMEOUT))
                                    .orElse(Mono.empty())
                                    .onErrorResume(e -> Mono.empty())
                                    .switchIfEmpty(Mono.defer(() -> find(service, stream)));
                });
    }

    /** Answers another host. */
    public Mono<PeerMessage> handle(PeerMessage.FindOrigin message) {
        return find(message.service(), message.stream()).cast(PeerMessage.class);
    }

    /** Returns what is known in memory, unless a registration may have been out of date then. */
    private Optional<OriginResponse> known(ServiceId service, StreamKey stream) {
        return recorded(service, stream)
                .filter(
                        origin ->
                                origin.version() == null
                                        || mOrigins.isCertain(stream, mRegistryCurrentNanos.get()));
    }

    private Optional<OriginResponse> recorded(ServiceId service, StreamKey stream) {
        return mOrigins.find(stream)
                .filter(origin -> origin.service().equals(service))
                .map(OriginTracker::settled);
    }

    /** Returns the version that alone has served. */
    private Optional<OriginResponse> only(ServiceId service) {
        return versions()
                .only(service, mState.servers().registered(service))
                .map(version -> settled(StreamOrigin.of(service, version)));
    }

    private static OriginResponse settled(StreamOrigin origin) {
        return new OriginResponse(origin.version().orElse(null), true);
    }

    private Mono<OriginResponse> find(ServiceId service, StreamKey stream) {
        return Mono.justOrEmpty(known(service, stream))
                .switchIfEmpty(
                        Mono.defer(
                                () ->
                                        believed(service, stream).isPresent()
                                                ? confirm(service, stream)
                                                : readAndFind(service, stream)));
    }

    /** Returns what follows if the registry is up to date. */
    private Optional<OriginResponse> believed(ServiceId service, StreamKey stream) {
        return recorded(service, stream).or(() -> only(service));
    }

    private Mono<OriginResponse> confirm(ServiceId service, StreamKey stream) {
        return confirmState()
                .map(
                        isCurrent ->
                                believed(service, stream)
                                        .filter(origin -> isCurrent)
                                        .orElseGet(() -> new OriginResponse(null, false)));
    }

    private Mono<OriginResponse> readAndFind(ServiceId service, StreamKey stream) {
        return mRecordsRead
                .next()
                .then(Mono.fromSupplier(() -> afterRead(service, stream)))
                .timeout(READ_TIMEOUT)
                .onErrorResume(e -> Mono.just(new OriginResponse(null, false)));
    }

    private OriginResponse afterRead(ServiceId service, StreamKey stream) {
        return recorded(service, stream).orElseGet(() -> new OriginResponse(null, true));
    }

    /**
     * Returns whether the registry was not out of date when a stream of this host began.
     *
     * @param begunNanos when the stream began, on the monotonic clock
     */
    public Mono<Boolean> confirmStateSince(long begunNanos) {
        OptionalLong currentNanos = mRegistryCurrentNanos.get();
        boolean isProven = currentNanos.isPresent() && currentNanos.getAsLong() - begunNanos > 0;
        return isProven ? Mono.just(true) : Mono.defer(this::confirmState);
    }

    /** Returns whether the store answers now, so that the registry is not out of date. */
    private Mono<Boolean> confirmState() {
        return mStateRead
                .next()
                .then(Mono.fromSupplier(mIsStateCurrent::getAsBoolean))
                .timeout(READ_TIMEOUT)
                .onErrorReturn(false);
    }

    private Mono<Void> readRecords() {
        return mRecords.read()
                .doOnNext(begun -> mOrigins.merge(begun, mTicker.nowNanos()))
                .doOnError(
                        e ->
                                mLog.write(
                                        new Decision.OriginRecordsFailed(
                                                "read", String.valueOf(e))))
                .then();
    }
}
