package org.fuchsiaford.entry.member;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.host.SlotRecord;
import org.fuchsiaford.store.RecordStore;
import org.fuchsiaford.store.StoreEntry;
import org.fuchsiaford.store.StoreException;
import org.fuchsiaford.store.StoreSnapshot;

/** The slot records of one consistent read of the store. Immutable. */
final class SlotTable {
    private final Map<SlotId, SlotRecord> mRecords;

    private SlotTable(Map<SlotId, SlotRecord> records) {
        mRecords = records;
    }

    static SlotTable of(StoreSnapshot slots) throws StoreException {
        Map<SlotId, SlotRecord> records = new HashMap<>();
        for (StoreEntry entry : slots.entries()) {
            SlotRecord record = RecordStore.decode(entry.value(), SlotRecord.class);
            records.put(record.slot(), record);
        }
        return new SlotTable(records);
    }

    Optional<SlotRecord> record(SlotId slot) {
        return Optional.ofNullable(mRecords.get(slot));
    }

    List<SlotRecord> records() {
        return List.copyOf(mRecords.values());
    }

    /** Returns whether no process may act on the slot according to this read. */
    boolean isVacant(SlotId slot) {
        return record(slot).flatMap(SlotRecord::activeProcess).isEmpty();
    }
}
