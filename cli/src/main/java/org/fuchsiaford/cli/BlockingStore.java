package org.fuchsiaford.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fuchsiaford.bundle.BundleHead;
import org.fuchsiaford.host.SlotRecord;
import org.fuchsiaford.store.RecordStore;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.store.StoreEntry;
import org.fuchsiaford.store.StoreException;
import org.fuchsiaford.store.StoreKey;
import org.fuchsiaford.store.StoreKeys;
import org.fuchsiaford.store.StoreLeaseId;
import org.fuchsiaford.store.StoreSnapshot;
import org.fuchsiaford.store.etcd.EtcdStore;
import reactor.core.Exceptions;
import reactor.core.publisher.Mono;

/** Blocking access to the store. Not thread-safe. */
final class BlockingStore {
    private final Store mStore;
    private final RecordStore mRecords;

    /** The bundle head and the revision of its key. */
    record VersionedHead(Optional<BundleHead> head, long revision) {}

    BlockingStore(List<String> urls) {
        mStore = new EtcdStore(urls);
        mRecords = new RecordStore(mStore);
    }

    VersionedHead readHead() throws StoreException {
        StoreSnapshot snapshot = await(mStore.read(List.of(StoreKeys.HEAD)));
        return new VersionedHead(
                RecordStore.find(snapshot, StoreKeys.HEAD, BundleHead.class),
                snapshot.revisionOf(StoreKeys.HEAD));
    }

    /** Writes an immutable value unless the key already exists. */
    void putIfAbsent(StoreKey key, byte[] value) throws StoreException {
        await(mStore.compareAndSwap(key, StoreEntry.ABSENT_REVISION, value, StoreLeaseId.NONE));
    }

    Optional<StoreEntry> read(StoreKey key) throws StoreException {
        return await(mStore.read(List.of(key))).entry(key);
    }

    /** Writes a record if its revision is still the expected one. */
    RecordStore.SwapResult compareAndSwap(StoreKey key, long expectedRevision, Object value)
            throws StoreException {
        return await(mRecords.compareAndSwap(key, expectedRevision, value, StoreLeaseId.NONE));
    }

    List<SlotRecord> readSlots() throws StoreException {
        StoreSnapshot snapshot = await(mStore.readPrefix(StoreKeys.SLOT_PREFIX));
        List<SlotRecord> slots = new ArrayList<>();
        for (StoreEntry entry : snapshot.entries()) {
            slots.add(RecordStore.decode(entry.value(), SlotRecord.class));
        }
        return slots;
    }

    private static <T> T await(Mono<T> mono) throws StoreException {
        try {
            return mono.block();
        } catch (RuntimeException e) {
            if (Exceptions.unwrap(e) instanceof StoreException storeException) {
                throw storeException;
            }
            throw e;
        }
    }
}
