package org.fuchsiaford.entry.gateway.state;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.protocol.StateDecoder;
import org.fuchsiaford.entry.gateway.protocol.UnreadableException;
import org.fuchsiaford.fleet.FleetView;
import org.fuchsiaford.fleet.HostRecord;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.ServerRegistry;
import org.fuchsiaford.routing.RoutingTable;
import org.fuchsiaford.store.StoreChange;
import org.fuchsiaford.store.StoreEntry;
import org.fuchsiaford.store.StoreKey;
import org.fuchsiaford.store.StoreKeys;
import org.fuchsiaford.time.Ticker;

/**
 * What this host knows of the store: the declaration in force, the backend servers, the registered
 * hosts.
 *
 * <p>Invariant: an entry never goes back to an older revision, whoever reports it, and the
 * declaration never to a lower version. Thread-safe.
 */
public final class GatewayState {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final StateDecoder mDecoder;
    private final ServerRegistry mServers;
    private final FleetView mFleet;
    private final DecisionLog mLog;
    private final Ticker mTicker;
    private final Consumer<BackendServerId> mNewRun;
    private final Map<StoreKey, StoreEntry> mEntries = new HashMap<>();
    private final Map<StoreKey, Long> mRemoved = new HashMap<>();
    private final Map<BackendServerId, LiveServer> mLastSeen = new HashMap<>();
    private volatile Optional<RoutingTable> mTable = Optional.empty();
    private volatile long mRevision;

    /**
     * Creates a state that knows nothing.
     *
     * @param newRun told of each server that has started anew
     */
    public GatewayState(
            StateDecoder decoder,
            ServerRegistry servers,
            FleetView fleet,
            DecisionLog log,
            Ticker ticker,
            Consumer<BackendServerId> newRun) {
        mDecoder = decoder;
        mServers = servers;
        mFleet = fleet;
        mLog = log;
        mTicker = ticker;
        mNewRun = newRun;
    }

    /** Returns the declaration in force, if any is known. */
    public Optional<RoutingTable> table() {
        return mTable;
    }

    /** Returns the store's revision up to which all changes are known. */
    public long revision() {
        return mRevision;
    }

    /** Returns the backend servers. */
    public ServerRegistry servers() {
        return mServers;
    }

    /** Returns all entries, for a host that knows less. */
    public synchronized List<StoreEntry> entries() {
        return List.copyOf(mEntries.values());
    }

    /** Takes a change in. */
    public synchronized void apply(StoreChange change) {
        if (change.isDeletion()) {
            remove(change.key(), change.revision());
        } else {
            put(new StoreEntry(change.key(), change.value(), change.revision()));
        }
        mRevision = Math.max(mRevision, change.revision());
    }

    /**
     * Takes a whole reading in: entries that are not in it are gone, unless they are newer. The
     * declaration comes last, since requests are let in as soon as one is known.
     *
     * @param revision the store's revision at the beginning of the reading
     */
    public synchronized void applySnapshot(long revision, List<StoreEntry> entries) {
        Set<StoreKey> present = new HashSet<>();
        entries.forEach(entry -> present.add(entry.key()));
        List<StoreKey> gone =
                mEntries.values().stream()
                        .filter(known -> known.revision() <= revision)
                        .map(StoreEntry::key)
                        .filter(key -> !present.contains(key))
                        .toList();
        gone.forEach(key -> remove(key, revision));
        entries.stream().filter(entry -> !mDecoder.isRoutingTable(entry.key())).forEach(this::put);
        entries.stream().filter(entry -> mDecoder.isRoutingTable(entry.key())).forEach(this::put);
        mRevision = Math.max(mRevision, revision);
    }

    private void put(StoreEntry entry) {
        StoreEntry last = mEntries.get(entry.key());
        long removed = mRemoved.getOrDefault(entry.key(), 0L);
        if (entry.revision() <= removed || last != null && last.revision() >= entry.revision()) {
            return;
        }
        mEntries.put(entry.key(), entry);
        mRemoved.remove(entry.key());
        try {
            read(entry);
        } catch (UnreadableException e) {
            mLog.write(
                    new Decision.EntryUnreadable(
                            entry.key().value(), entry.revision(), e.getMessage()));
        } catch (IOException e) {
            mLog.write(
                    new Decision.EntryUnreadable(
                            entry.key().value(), entry.revision(), String.valueOf(e)));
        }
    }

    private void read(StoreEntry entry) throws UnreadableException, IOException {
        Optional<BackendServerId> server = mDecoder.serverId(entry.key());
        if (mDecoder.isRoutingTable(entry.key())) {
            putTable(mDecoder.readRoutingTable(entry.value()), entry.revision());
        } else if (server.isPresent()) {
            putServer(server.get(), entry);
        } else if (hostOf(entry.key()).isPresent()) {
            mFleet.register(MAPPER.readValue(entry.value(), HostRecord.class));
        }
    }

    private void putTable(RoutingTable table, long revision) {
        if (mTable.isPresent() && mTable.get().version() >= table.version()) {
            return;
        }
        mTable = Optional.of(table);
        mLog.write(new Decision.TableInForce(table.version(), revision));
    }

    private void putServer(BackendServerId id, StoreEntry entry) throws UnreadableException {
        LiveServer server;
        try {
            server = mDecoder.readServer(id, entry.value());
        } catch (UnreadableException e) {
            // An unreadable entry names no server to use; the last readable one is out of date.
            mServers.remove(id, entry.revision(), mTicker.nowNanos());
            throw e;
        }
        mServers.put(server, entry.revision());
        LiveServer last = mLastSeen.put(id, server);
        if (last == null || last.startedMillis() != server.startedMillis()) {
            mNewRun.accept(id);
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
                        revision));
    }

    private void remove(StoreKey key, long revision) {
        StoreEntry last = mEntries.get(key);
        if (last != null && last.revision() > revision) {
            return;
        }
        mEntries.remove(key);
        mRemoved.merge(key, revision, Math::max);
        hostOf(key).ifPresent(mFleet::unregister);
        mDecoder.serverId(key).ifPresent(id -> removeServer(id, revision));
    }

    private void removeServer(BackendServerId id, long revision) {
        if (mServers.remove(id, revision, mTicker.nowNanos())) {
            mLastSeen.remove(id);
            mLog.write(new Decision.ServerSeen(id.value(), null, "gone", null, revision));
        }
    }

    private static Optional<HostId> hostOf(StoreKey key) {
        String prefix = StoreKeys.HOST_PREFIX.value();
        return key.value().startsWith(prefix) && key.value().length() > prefix.length()
                ? Optional.of(new HostId(key.value().substring(prefix.length())))
                : Optional.empty();
    }
}
