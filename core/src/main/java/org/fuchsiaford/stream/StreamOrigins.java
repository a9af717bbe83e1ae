package org.fuchsiaford.stream;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * The origins of the streams that began lately, as far as this host knows them.
 *
 * <p>Invariant: an entry is only added for a stream whose origin is known, and only the latest
 * {@link #MAX_STREAMS} are kept, so a stream that is not found may have begun anywhere.
 * Thread-safe.
 */
public final class StreamOrigins {
    /** At about 150 bytes an entry, this is a third of the memory for control on a host. */
    private static final int MAX_STREAMS = 65_536;

    /** In the order in which streams were last recorded. */
    private final Map<StreamKey, Entry> mEntries = new LinkedHashMap<>();

    private record Entry(StreamOrigin origin, long recordedNanos) {}

    /**
     * Records that a stream has begun, or goes on, at its origin.
     *
     * @return false if the stream is known to have begun elsewhere; then nothing changes
     */
    public synchronized boolean record(StreamKey stream, StreamOrigin origin, long nowNanos) {
        Entry known = mEntries.get(stream);
        if (known != null && !known.origin().equals(origin)) {
            return false;
        }
        mEntries.remove(stream);
        mEntries.put(stream, new Entry(origin, nowNanos));
        if (mEntries.size() > MAX_STREAMS) {
            removeOldest();
        }
        return true;
    }

    private void removeOldest() {
        Iterator<StreamKey> oldest = mEntries.keySet().iterator();
        oldest.next();
        oldest.remove();
    }

    /** Records streams that another host knows. Returns those that were not known here. */
    public synchronized List<BegunStreams> merge(List<BegunStreams> others, long nowNanos) {
        List<BegunStreams> added = new ArrayList<>();
        others.forEach(
                begun -> {
                    StreamOrigin origin = new StreamOrigin(begun.service(), begun.version());
                    List<StreamKey> unknown =
                            begun.streams().stream()
                                    .filter(stream -> !mEntries.containsKey(stream))
                                    .toList();
                    begun.streams().forEach(stream -> record(stream, origin, nowNanos));
                    if (!unknown.isEmpty()) {
                        added.add(new BegunStreams(begun.service(), begun.version(), unknown));
                    }
                });
        return added;
    }

    /** Returns where a stream began, if this host knows it. */
    public synchronized Optional<StreamOrigin> find(StreamKey stream) {
        return Optional.ofNullable(mEntries.get(stream)).map(Entry::origin);
    }

    /**
     * Returns the streams recorded since a time that satisfy a condition.
     *
     * @param sinceNanos a time on the monotonic clock
     */
    public synchronized List<BegunStreams> recordedSince(
            long sinceNanos, Predicate<StreamOrigin> condition) {
        return mEntries.entrySet().stream()
                .filter(e -> e.getValue().recordedNanos() - sinceNanos >= 0)
                .filter(e -> condition.test(e.getValue().origin()))
                .collect(
                        Collectors.groupingBy(
                                e -> e.getValue().origin(),
                                LinkedHashMap::new,
                                Collectors.mapping(Map.Entry::getKey, Collectors.toList())))
                .entrySet()
                .stream()
                .map(e -> toBegun(e.getKey(), e.getValue()))
                .toList();
    }

    private static BegunStreams toBegun(StreamOrigin origin, List<StreamKey> streams) {
        return new BegunStreams(origin.service(), origin.version(), List.copyOf(streams));
    }

    /** Forgets the streams that were last recorded before a time. */
    public synchronized void removeRecordedBefore(long nanos) {
        mEntries.values().removeIf(entry -> entry.recordedNanos() - nanos < 0);
    }
}
