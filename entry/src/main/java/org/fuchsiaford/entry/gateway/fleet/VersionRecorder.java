package org.fuchsiaford.entry.gateway.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import java.util.stream.Collectors;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.state.GatewayState;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.SoftwareVersion;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.store.StoreKey;
import org.fuchsiaford.store.StoreKeys;
import org.fuchsiaford.store.StoreLeaseId;
import org.fuchsiaford.stream.VersionRetention;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Mono;

/**
 * Records in the store which software versions of each service serve streams, and drops those whose
 * streams no caller can take up any more.
 *
 * <p>Invariant: a record changes only if it is still the one that the change is based on. The first
 * coordinator writes at once; other hosts only write versions that it has not recorded for a while.
 * Thread-safe.
 */
final class VersionRecorder {
    /** Longer than the first coordinator needs to write a record and the store to report it. */
    private static final long MIN_TAKEOVER_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    /** Range over which the writes of other hosts are spread, so that the first one suffices. */
    private static final double TAKEOVER_SPREAD_NANOS = 2e9;

    /** Time after a write in which the watch of the store reports it. */
    private static final long REPORT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final Store mStore;
    private final GatewayState mState;
    private final BooleanSupplier mIsCoordinator;
    private final DoubleSupplier mRandom;
    private final DecisionLog mLog;
    private final Ticker mTicker;
    private final VersionRetention mRetention = new VersionRetention();
    private final Map<ServiceId, Long> mNotBeforeNanos = new HashMap<>();

    /**
     * Creates a recorder.
     *
     * @param isCoordinator whether this host is the first coordinator
     * @param random a source of uniformly distributed random numbers from 0 to 1
     */
    VersionRecorder(
            Store store,
            GatewayState state,
            BooleanSupplier isCoordinator,
            DoubleSupplier random,
            DecisionLog log,
            Ticker ticker) {
        mStore = store;
        mState = state;
        mIsCoordinator = isCoordinator;
        mRandom = random;
        mLog = log;
        mTicker = ticker;
    }

    /** Writes what has changed. Must be called several times a second. */
    void update() {
        if (mState.table().isEmpty()) {
            return;
        }
        Map<ServiceId, Set<SoftwareVersion>> registered =
                mState.servers().registered().stream()
                        .filter(server -> server.stage().isPresent())
                        .collect(
                                Collectors.groupingBy(
                                        LiveServer::service,
                                        Collectors.mapping(
                                                LiveServer::version, Collectors.toSet())));
        Set<ServiceId> services = new HashSet<>(registered.keySet());
        services.addAll(mState.versions().services());
        services.forEach(service -> update(service, registered.getOrDefault(service, Set.of())));
    }

    private void update(ServiceId service, Set<SoftwareVersion> registered) {
        long nowNanos = mTicker.nowNanos();
        List<SoftwareVersion> recorded = mState.versions().of(service);
        Optional<List<SoftwareVersion>> changed =
                mRetention.update(
                        service,
                        recorded,
                        registered,
                        VersionRetention.retentionNanos(maxTimeoutMillis()),
                        nowNanos);
        boolean isLost = mState.isVersionRecordIncomplete(service);
        boolean isIncomplete = isLost || !Set.copyOf(recorded).containsAll(registered);
        if ((changed.isPresent() || isLost) && isDue(service, isIncomplete, nowNanos)) {
            write(service, changed.orElse(recorded));
        }
    }

    private long maxTimeoutMillis() {
        return mState.table().map(table -> table.maxTimeoutMillis()).orElse(0L);
    }

    private synchronized boolean isDue(ServiceId service, boolean isIncomplete, long nowNanos) {
        boolean isCoordinator = mIsCoordinator.getAsBoolean();
        if (!isCoordinator && !isIncomplete) {
            mNotBeforeNanos.remove(service);
            return false;
        }
        long notBeforeNanos =
                mNotBeforeNanos.computeIfAbsent(
                        service, id -> isCoordinator ? nowNanos : nowNanos + takeoverNanos());
        if (nowNanos - notBeforeNanos < 0) {
            return false;
        }
        mNotBeforeNanos.put(service, nowNanos + REPORT_NANOS);
        return true;
    }

    private long takeoverNanos() {
        return MIN_TAKEOVER_NANOS + (long) (mRandom.getAsDouble() * TAKEOVER_SPREAD_NANOS);
    }

    private void write(ServiceId service, List<SoftwareVersion> versions) {
        StoreKey key = StoreKeys.versions(service);
        Mono.fromCallable(() -> encode(versions))
                .flatMap(
                        value ->
                                mStore.compareAndSwap(
                                        key, mState.revisionOf(key), value, StoreLeaseId.NONE))
                .subscribe(
                        written -> log(service, versions, written ? "recorded" : "outdated"),
                        e -> log(service, versions, String.valueOf(e.getMessage())));
    }

    private static byte[] encode(List<SoftwareVersion> versions) throws JsonProcessingException {
        return MAPPER.writeValueAsBytes(versions);
    }

    private void log(ServiceId service, List<SoftwareVersion> versions, String outcome) {
        mLog.write(
                new Decision.VersionsRecorded(
                        service.value(),
                        versions.stream().map(SoftwareVersion::value).toList(),
                        outcome));
    }
}
