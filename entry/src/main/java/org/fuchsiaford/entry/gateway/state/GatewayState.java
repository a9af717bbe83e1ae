package org.fuchsiaford.entry.gateway.state;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.protocol.StateDecoder;
import org.fuchsiaford.entry.gateway.protocol.UnreadableException;
import org.fuchsiaford.fleet.FleetView;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.RegionMap;
import org.fuchsiaford.registry.ServerRegistry;
import org.fuchsiaford.registry.ServerRun;
import org.fuchsiaford.routing.ColdStart;
import org.fuchsiaford.routing.EngineCapacity;
import org.fuchsiaford.routing.RoutingTable;
import org.fuchsiaford.routing.ServiceDeclaration;
import org.fuchsiaford.selection.EnginePool;
import org.fuchsiaford.store.StoreChange;
import org.fuchsiaford.store.StoreEntry;
import org.fuchsiaford.store.StoreKey;
import org.fuchsiaford.store.StoreKeys;
import org.fuchsiaford.store.StoreRevision;
import org.fuchsiaford.stream.ServedVersions;
import org.fuchsiaford.time.Ticker;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * The state that this host has read from the store: the routing table in force, the backend
 * servers, the evacuated failure domains, the registered hosts and the software versions that serve
 * streams.
 *
 * <p>Invariant: an entry never reverts to an older revision, whatever its source, and the routing
 * table never reverts to a lower version. In a new era of the store, entries may be older copies:
 * what has been known of a run of a server that was leaving or gone, and of versions that served
 * streams, then still holds. Thread-safe.
 */
public final class GatewayState implements EnginePool {
    private final StateDecoder mDecoder;
    private final ServerRegistry mServers;
    private final ColdServerRecorder mCold;
    private final ServerPaceRecorder mPace;
    private final EvacuationRecorder mEvacuations;
    private final ServedVersionsReader mVersions = new ServedVersionsReader();
    private final FleetView mFleet;
    private final DecisionLog mLog;
    private final Ticker mTicker;
    private final ServerStartListener mOnServerStarted;
    private final Map<StoreKey, StoreEntry> mEntries = new HashMap<>();
    private final Map<StoreKey, Long> mRemovedRevisions = new HashMap<>();
    private final Map<BackendServerId, LiveServer> mLastServers = new HashMap<>();
    private final Map<BackendServerId, LiveServer> mEndedServers = new HashMap<>();
    private volatile Optional<RoutingTable> mTable = Optional.empty();
    private volatile long mRevision;
    private volatile long mLastChangeRevision;

    /**
     * Creates an empty state.
     *
     * @param onServerStarted called for each server that is new or has restarted; must not block
     */
    public GatewayState(
            StateDecoder decoder,
            ServerRegistry servers,
            FleetView fleet,
            DecisionLog log,
            Ticker ticker,
            ServerStartListener onServerStarted) {
        mDecoder = decoder;
        mServers = servers;
        mFleet = fleet;
        mLog = log;
        mTicker = ticker;
        mOnServerStarted = onServerStarted;
        mPace = new ServerPaceRecorder(servers, log, ticker);
        mEvacuations = new EvacuationRecorder(servers.evacuated(), log, ticker);
        mCold = new ColdServerRecorder(this::coldStart, servers, log, ticker);
    }

    /** Returns the routing table in force, if any. */
    public Optional<RoutingTable> table() {
        return mTable;
    }

    /** Returns the store revision up to which all changes have been applied. */
    public long revision() {
        return mRevision;
    }

    /**
     * Returns the store revision of the latest change that concerns this state. Hosts that have
     * applied all changes up to it differ in nothing, whatever else has been written since.
     */
    public long lastChangeRevision() {
        return mLastChangeRevision;
    }

    /** Returns the revision of a known entry, to base a change on. */
    public synchronized long revisionOf(StoreKey key) {
        StoreEntry entry = mEntries.get(key);
        return entry == null ? StoreEntry.ABSENT_REVISION : entry.revision();
    }

    /** Returns the prefixes of the keys that operators and backend servers write. */
    List<StoreKey> decodedPrefixes() {
        return mDecoder.prefixes();
    }

    /** Returns the software versions that serve streams. */
    public ServedVersions versions() {
        return mVersions.versions();
    }

    /** Returns whether the store has lost versions of a service that this host still knows. */
    public boolean isVersionRecordIncomplete(ServiceId service) {
        return mVersions.isIncomplete(service);
    }

    /** Returns the registry of backend servers. */
    public ServerRegistry servers() {
        return mServers;
    }

    /** Returns the record of the servers that are cold. */
    public ColdServerRecorder cold() {
        return mCold;
    }

    /** Returns the record of the pace of servers. */
    public ServerPaceRecorder pace() {
        return mPace;
    }

    private ColdStart coldStart(ServiceId service) {
        return mTable.flatMap(table -> table.service(service))
                .map(ServiceDeclaration::coldStart)
                .orElse(ColdStart.NONE);
    }

    @Override
    public List<LiveServer> usable(ServiceId service, long nowNanos) {
        return mServers.usable(service, nowNanos);
    }

    @Override
    public RegionMap regions() {
        return mServers.regions();
    }

    @Override
    public EngineCapacity capacity(ServiceId service) {
        return mTable.flatMap(table -> table.service(service))
                .flatMap(ServiceDeclaration::engine)
                .orElse(new EngineCapacity(Integer.MAX_VALUE, Long.MAX_VALUE, 0));
    }

    @Override
    public double weight(WorkspaceId workspace) {
        return mTable.map(table -> table.weight(workspace)).orElse(1.0);
    }

    /**
     * Records servers that have said they are leaving.
     *
     * @param source who was told: a request of this host, or another host
     */
    public void markLeaving(List<ServerRun> leaving, String source) {
        leaving.stream()
                .filter(mServers::markLeaving)
                .forEach(
                        server ->
                                mLog.write(
                                        new Decision.ServerNoticed(
                                                server.id().value(), "leaving", source, 0, null)));
    }

    /** Returns all known store entries. */
    public synchronized List<StoreEntry> entries() {
        return List.copyOf(mEntries.values());
    }

    /** Applies a change of the store. */
    public synchronized void apply(StoreChange change) {
        if (isConcerned(change.key())) {
            applyConcerned(change);
        }
        mRevision = Math.max(mRevision, change.revision());
    }

    /** Records of streams are read when a caller asks for one, and by coordinators only. */
    private static boolean isConcerned(StoreKey key) {
        return !key.value().startsWith(StoreKeys.STREAMS_PREFIX.value());
    }

    private void applyConcerned(StoreChange change) {
        if (change.isDeletion()) {
            remove(change.key(), change.revision(), false);
        } else {
            put(new StoreEntry(change.key(), change.value(), change.revision()));
        }
        mLastChangeRevision = Math.max(mLastChangeRevision, change.revision());
    }

    /**
     * Applies a snapshot of the whole store: known entries that it does not contain are removed,
     * unless they are newer. The routing table is applied last, since requests are accepted as soon
     * as there is one.
     *
     * @param revision the store revision at the beginning of the read; entries may be newer
     */
    public synchronized void applySnapshot(long revision, List<StoreEntry> entries) {
        Set<StoreKey> present = new HashSet<>();
        entries.forEach(entry -> present.add(entry.key()));
        List<StoreKey> removedKeys =
                mEntries.values().stream()
                        .filter(known -> known.revision() <= revision)
                        .map(StoreEntry::key)
                        .filter(key -> !present.contains(key))
                        .toList();
        removedKeys.forEach(key -> remove(key, revision, true));
        if (!removedKeys.isEmpty()) {
            mLastChangeRevision = Math.max(mLastChangeRevision, revision);
        }
        entries.stream()
                .filter(entry -> isConcerned(entry.key()))
                .filter(entry -> !mDecoder.isRoutingTable(entry.key()))
                .forEach(this::put);
        entries.stream().filter(entry -> mDecoder.isRoutingTable(entry.key())).forEach(this::put);
        mRevision = Math.max(mRevision, revision);
    }

    private void put(StoreEntry entry) {
        StoreEntry last = mEntries.get(entry.key());
        long removedRevision = mRemovedRevisions.getOrDefault(entry.key(), 0L);
        if (entry.revision() <= removedRevision
                || last != null && last.revision() >= entry.revision()) {
            return;
        }
        boolean isOfNewEra = isOfNewEra(entry.revision(), last, removedRevision);
        mEntries.put(entry.key(), entry);
        mRemovedRevisions.remove(entry.key());
        mLastChangeRevision = Math.max(mLastChangeRevision, entry.revision());
        try {
            decode(entry, isOfNewEra);
        } catch (UnreadableException e) {
            mLog.write(
                    new Decision.EntryUnreadable(
                            entry.key().value(), entry.revision(), e.getMessage()));
        } catch (IOException | RuntimeException e) {
            // Entries of other writers may decode to anything; none of them may end the watch.
            mLog.write(
                    new Decision.EntryUnreadable(
                            entry.key().value(), entry.revision(), String.valueOf(e)));
        }
    }

    /** Returns whether what was known of a key before is of a former era of the store. */
    private static boolean isOfNewEra(long revision, StoreEntry last, long removedRevision) {
        long knownRevision = last == null ? removedRevision : last.revision();
        return StoreRevision.eraOf(revision) > StoreRevision.eraOf(knownRevision);
    }

    private void decode(StoreEntry entry, boolean isOfNewEra)
            throws UnreadableException, IOException {
        Optional<BackendServerId> server = mDecoder.serverId(entry.key());
        if (mDecoder.isRoutingTable(entry.key())) {
            putTable(mDecoder.readRoutingTable(entry.value()), entry.revision());
        } else if (server.isPresent()) {
            putServer(server.get(), entry, isOfNewEra);
        } else if (mDecoder.evacuatedDomain(entry.key()).isPresent()) {
            mEvacuations.begin(mDecoder.evacuatedDomain(entry.key()).get(), entry.revision());
        } else if (hostId(entry.key()).isPresent()) {
            mFleet.register(HostEntry.read(hostId(entry.key()).get(), entry.value()));
        } else if (recordedService(entry.key()).isPresent()) {
            mVersions.put(recordedService(entry.key()).get(), entry, isOfNewEra);
        }
    }

    private void putTable(RoutingTable table, long revision) {
        if (mTable.isPresent() && mTable.get().version() >= table.version()) {
            return;
        }
        mTable = Optional.of(table);
        mLog.write(new Decision.TableInForce(table.version(), revision));
    }

    private void putServer(BackendServerId id, StoreEntry entry, boolean isOfNewEra)
            throws UnreadableException {
        LiveServer server;
        try {
            server = mDecoder.readServer(id, entry.value());
        } catch (UnreadableException e) {
            // The last valid entry is out of date, so the server is not used any more.
            mServers.remove(id, entry.revision(), mTicker.nowNanos());
            throw e;
        }
        mServers.put(server, entry.revision());
        Optional<LiveServer> ended = Optional.ofNullable(mEndedServers.remove(id));
        if (isOfNewEra && ended.map(LiveServer::run).equals(Optional.of(server.run()))) {
            mServers.suspend(server.run(), mTicker.nowNanos());
        }
        LiveServer last = mLastServers.put(id, server);
        boolean isNewRun =
                !Optional.ofNullable(last)
                        .or(() -> ended)
                        .map(LiveServer::run)
                        .equals(Optional.of(server.run()));
        mCold.register(server, mDecoder.readColdRemainingMillis(entry.value()), isNewRun);
        if (isNewRun) {
            mPace.recordStart(server);
        }
        if (isOfNewEra && last != null && last.draining() && last.run().equals(server.run())) {
            mServers.markLeaving(server.run());
        }
        if (last == null || last.startedMillis() != server.startedMillis()) {
            mOnServerStarted.serverStarted(server, Optional.ofNullable(last).or(() -> ended));
        }
        if (!server.equals(last)) {
            logServer(server, entry.revision());
        }
    }

    private void logServer(LiveServer server, long revision) {
        mLog.write(
                new Decision.ServerSeen(
                        server.id().value(),
                        server.service().value(),
                        server.draining() ? "draining" : "ready",
                        server.stage().map(Enum::name).orElse(null),
                        server.version().value(),
                        server.startedMillis(),
                        revision));
    }

    private void remove(StoreKey key, long revision, boolean isMissing) {
        StoreEntry last = mEntries.get(key);
        if (last != null && last.revision() > revision) {
            return;
        }
        mEntries.remove(key);
        mRemovedRevisions.merge(key, revision, Math::max);
        hostId(key).ifPresent(mFleet::unregister);
        boolean isOfNewEra = last != null && isOfNewEra(revision, last, 0);
        recordedService(key).ifPresent(service -> mVersions.remove(service, isOfNewEra));
        mDecoder.serverId(key).ifPresent(id -> removeServer(id, revision, isMissing));
        boolean isLost = isMissing && isOfNewEra;
        mDecoder.evacuatedDomain(key)
                .ifPresent(domain -> mEvacuations.end(domain, revision, isLost));
    }

    /** Ends the evacuations that a restored store has lacked for too long. */
    public void endDueEvacuations() {
        mEvacuations.endDue(mRevision);
    }

    private void removeServer(BackendServerId id, long revision, boolean isMissing) {
        boolean isNews =
                isMissing
                        ? mServers.removeMissing(id, revision, mTicker.nowNanos())
                        : mServers.remove(id, revision, mTicker.nowNanos());
        if (isNews) {
            Optional.ofNullable(mLastServers.remove(id))
                    .ifPresent(server -> mEndedServers.put(id, server));
            mLog.write(
                    new Decision.ServerSeen(id.value(), null, "gone", null, null, null, revision));
        }
    }

    private static Optional<HostId> hostId(StoreKey key) {
        return nameAfter(StoreKeys.HOST_PREFIX, key).map(HostId::new);
    }

    private static Optional<ServiceId> recordedService(StoreKey key) {
        return nameAfter(StoreKeys.VERSIONS_PREFIX, key).map(ServiceId::new);
    }

    private static Optional<String> nameAfter(StoreKey prefix, StoreKey key) {
        int length = prefix.value().length();
        return key.value().startsWith(prefix.value()) && key.value().length() > length
                ? Optional.of(key.value().substring(length))
                : Optional.empty();
    }
}
