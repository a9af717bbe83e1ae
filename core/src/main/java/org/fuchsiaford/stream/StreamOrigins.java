package org.fuchsiaford.stream;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
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

    /**
     * An entry.
     *
     * @param firstNanos when the origin became known
     * @param recordedNanos when it was last recorded
     * @param stated whether the server has stated its run since the stream began
     */
    private record Entry(
            StreamOrigin origin, long firstNanos, long recordedNanos, boolean stated) {}

    /**
     * Records that a stream has begun, or goes on, at its origin. What is known of a stream stays,
     * unless it turns out that it cannot be told any more.
     */
    public void record(StreamKey stream, StreamOrigin origin, long nowNanos) {
        record(stream, origin, nowNanos, false);
    }

    /** As {@link #record}, for a stream whose server has stated its run since it began. */
    public void recordStated(StreamKey stream, StreamOrigin origin, long nowNanos) {
        record(stream, origin, nowNanos, true);
    }

    private synchronized void record(
            StreamKey stream, StreamOrigin origin, long nowNanos, boolean stated) {
        Entry known = mEntries.remove(stream);
        boolean isKnown = known != null && origin.version().isPresent();
        mEntries.put(
                stream,
                isKnown
                        ? new Entry(
                                known.origin(),
                                known.firstNanos(),
                                nowNanos,
                                known.stated() || stated)
                        : new Entry(origin, nowNanos, nowNanos, stated));
        if (mEntries.size() > MAX_STREAMS) {
            removeOldest();
        }
    }

    private void removeOldest() {
        Iterator<StreamKey> oldest = mEntries.keySet().iterator();
        oldest.next();
        oldest.remove();
    }

    /** Records streams that another host knows. Returns those that were news here. */
    public synchronized List<BegunStreams> merge(List<BegunStreams> others, long nowNanos) {
        List<BegunStreams> added = new ArrayList<>();
        others.forEach(
                begun -> {
                    List<StreamKey> news =
                            begun.streams().stream()
                                    .filter(stream -> isNews(stream, begun.origin()))
                                    .toList();
                    begun.streams().forEach(stream -> record(stream, begun.origin(), nowNanos));
                    if (!news.isEmpty()) {
                        added.add(new BegunStreams(begun.service(), begun.version(), news));
                    }
                });
        return added;
    }

    private boolean isNews(StreamKey stream, StreamOrigin origin) {
        Entry known = mEntries.get(stream);
        return known == null || origin.version().isEmpty() && known.origin().version().isPresent();
    }

    /** Returns where a stream began, if this host knows it. */
    public synchronized Optional<StreamOrigin> find(StreamKey stream) {
        return Optional.ofNullable(mEntries.get(stream)).map(Entry::origin);
    }

    /**
     * Returns whether the origin of a stream is known for certain: the server has stated its run,
     * or the origin was known before a time.
     *
     * @param currentNanos a time as of which the registry was up to date, if there was one
     */
    public synchronized boolean isCertain(StreamKey stream, OptionalLong currentNanos) {
        Entry known = mEntries.get(stream);
        return known != null
                && (known.stated()
                        || currentNanos.isPresent()
                                && known.firstNanos() - currentNanos.getAsLong() < 0);
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
        return new BegunStreams(
                origin.service(), origin.version().orElse(null), List.copyOf(streams));
    }

    /** Forgets the streams that were last recorded before a time. */
    public synchronized void removeRecordedBefore(long nanos) {
        mEntries.values().removeIf(entry -> entry.recordedNanos() - nanos < 0);
    }
}
