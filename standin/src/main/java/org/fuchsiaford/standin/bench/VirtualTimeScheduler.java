package org.fuchsiaford.standin.bench;

import java.util.PriorityQueue;

/**
 * Runs actions in virtual time. Actions due at the same time run in the order in which they were
 * scheduled. Not thread-safe.
 */
final class VirtualTimeScheduler {
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private long mNowNanos;
    private long mNextSequence;

    private record Event(long timeNanos, long sequence, Runnable action)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(timeNanos, other.timeNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    long nowNanos() {
        return mNowNanos;
    }

    /** Schedules an action; a negative delay counts as zero. */
    void schedule(long delayNanos, Runnable action) {
        mEvents.add(new Event(mNowNanos + Math.max(delayNanos, 0), mNextSequence++, action));
    }

    /** Runs the actions that are due at or before a time. */
    void run(long endNanos) {
        while (!mEvents.isEmpty() && mEvents.peek().timeNanos() <= endNanos) {
            Event event = mEvents.poll();
            mNowNanos = event.timeNanos();
            event.action().run();
        }
    }
}
