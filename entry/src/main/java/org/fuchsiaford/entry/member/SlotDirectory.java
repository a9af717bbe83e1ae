package org.fuchsiaford.entry.member;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsiaford.hash.RendezvousHash;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.host.SlotRecord;
import org.fuchsiaford.peer.PeerAddress;
import org.fuchsiaford.store.RecordStore;
import org.fuchsiaford.store.StoreChange;
import org.fuchsiaford.store.StoreException;
import org.fuchsiaford.store.StoreKeys;
import org.fuchsiaford.store.StoreSnapshot;
import org.jboss.logging.Logger;

/**
 * Who holds which slot, as last heard from the store or, while it cannot be had, from other hosts.
 * Used to find other hosts, never to decide whether somebody may act.
 *
 * <p>Thread-safe.
 */
public final class SlotDirectory {
    private static final Logger LOG = Logger.getLogger(SlotDirectory.class);

    private final Map<SlotId, SlotRecord> mRecords = new ConcurrentHashMap<>();
    private final Set<SlotId> mLive = ConcurrentHashMap.newKeySet();

    /** Replaces everything by what the store holds. */
    public void replace(StoreSnapshot slots, StoreSnapshot live) {
        mRecords.clear();
        slots.entries().forEach(entry -> put(entry.value()));
        mLive.clear();
        live.entries().forEach(entry -> mLive.add(slotOf(entry.key().value())));
    }

    /** Adds what another host knows, where nothing newer is known. */
    public void merge(List<SlotRecord> records, List<SlotId> live) {
        records.forEach(
                record ->
                        mRecords.merge(
                                record.slot(),
                                record,
                                (a, b) -> a.incarnation().compareTo(b.incarnation()) < 0 ? b : a));
        mLive.addAll(live);
    }

    /** Applies a change to a slot record or to a live key. */
    public void apply(StoreChange change) {
        String key = change.key().value();
        if (key.startsWith(StoreKeys.SLOT_PREFIX.value())) {
            if (!change.isDeletion()) {
                put(change.value());
            }
        } else if (change.isDeletion()) {
            mLive.remove(slotOf(key));
        } else {
            mLive.add(slotOf(key));
        }
    }

    private void put(byte[] value) {
        try {
            SlotRecord record = RecordStore.decode(value, SlotRecord.class);
            mRecords.put(record.slot(), record);
        } catch (StoreException e) {
            LOG.errorf("%s", e.getMessage());
        }
    }

    private static SlotId slotOf(String key) {
        return new SlotId(key.substring(key.lastIndexOf('/') + 1));
    }

    /** Returns the record of a slot, if there is one. */
    public Optional<SlotRecord> record(SlotId slot) {
        return Optional.ofNullable(mRecords.get(slot));
    }

    /** Returns all records. */
    public List<SlotRecord> records() {
        return List.copyOf(mRecords.values());
    }

    /** Returns the slots whose holders keep their lease with the store. */
    public List<SlotId> liveSlots() {
        return List.copyOf(mLive);
    }

    /** Returns whether a slot's holder keeps its lease with the store. */
    public boolean isLive(SlotId slot) {
        return mLive.contains(slot);
    }

    /** Returns where to reach the holder of a slot, if somebody holds it. */
    public Optional<PeerAddress> address(SlotId slot) {
        return record(slot)
                .filter(SlotRecord::isOccupied)
                .map(SlotRecord::peerAddress)
                .map(PeerAddress::parse);
    }

    /** Returns the records of slots that are held and live. */
    public List<SlotRecord> servingRecords() {
        return mRecords.values().stream()
                .filter(record -> record.state() == SlotRecord.State.HELD)
                .filter(record -> isLive(record.slot()))
                .toList();
    }

    /** Returns the serving slots, best first, for a key. */
    public List<SlotId> rankServing(String key) {
        return RendezvousHash.rank(key, servingRecords().stream().map(SlotRecord::slot).toList());
    }
}
