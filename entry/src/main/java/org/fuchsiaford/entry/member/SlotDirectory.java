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
 * The holders of slots as last reported by the store or, while the store is unavailable, by other
 * hosts. It is used to find other hosts, never to decide whether a host may act.
 *
 * <p>Thread-safe.
 */
public final class SlotDirectory {
    private static final Logger LOG = Logger.getLogger(SlotDirectory.class);

    private final Map<SlotId, SlotRecord> mRecords = new ConcurrentHashMap<>();
    private final Set<SlotId> mLiveSlots = ConcurrentHashMap.newKeySet();

    /** Replaces the contents by those read from the store. */
    public void replace(StoreSnapshot slots, StoreSnapshot live) {
        mRecords.clear();
        slots.entries().forEach(entry -> put(entry.value()));
        mLiveSlots.clear();
        live.entries().forEach(entry -> mLiveSlots.add(slotOf(entry.key().value())));
    }

    /** Merges the records and live slots known to another host; newer records take precedence. */
    public void merge(List<SlotRecord> records, List<SlotId> live) {
        records.forEach(
                record ->
                        mRecords.merge(
                                record.slot(),
                                record,
                                (a, b) -> a.incarnation().compareTo(b.incarnation()) < 0 ? b : a));
        mLiveSlots.addAll(live);
    }

    /** Applies a change to a slot record or to a liveness key. */
    public void apply(StoreChange change) {
        String key = change.key().value();
        if (key.startsWith(StoreKeys.SLOT_PREFIX.value())) {
            if (!change.isDeletion()) {
                put(change.value());
            }
        } else if (change.isDeletion()) {
            mLiveSlots.remove(slotOf(key));
        } else {
            mLiveSlots.add(slotOf(key));
        }
    }

    private void put(byte[] value) {
        try {
            SlotRecord record = RecordStore.decode(value, SlotRecord.class);
            mRecords.put(record.slot(), record);
        } catch (StoreException e) {
            LOG.errorf("slot record ignored: %s", e.getMessage());
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

    /** Returns the slots whose holders maintain their liveness key in the store. */
    public List<SlotId> liveSlots() {
        return List.copyOf(mLiveSlots);
    }

    /** Returns whether the holder of a slot maintains its liveness key in the store. */
    public boolean isLive(SlotId slot) {
        return mLiveSlots.contains(slot);
    }

    /** Returns the peer address of the holder of a slot, if the slot is occupied. */
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

    /**
     * Returns the slots that are held and live, ranked for a key by rendezvous hashing, best first.
     */
    public List<SlotId> rankServing(String key) {
        return RendezvousHash.rank(key, servingRecords().stream().map(SlotRecord::slot).toList());
    }
}
