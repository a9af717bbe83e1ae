package org.fuchsiaford.prompt;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.backend.BackendServerId;

/**
 * Keeps prompts from engines that they would crash: finds the parts that crashes have in common,
 * refuses requests that contain them, and admits one request at a time again after a while. The
 * fingerprint of a request counts as one of its parts, and as the only one of a plain request; so a
 * request that comes again is kept from plain servers in the same way.
 *
 * <p>Load pattern: requests that differ in all but one part of their prompts each crash the engine
 * that begins to answer them. Without this, they crash one engine after the other, with all streams
 * that run there.
 *
 * <p>Invariant: while parts are in quarantine, at most one request with all of them is admitted in
 * each period, and each period is twice as long as the one before. One request that comes again is
 * admitted {@link #MAX_REQUEST_TRIALS} times at most in a day. Thread-safe.
 */
public final class PromptQuarantine {
    /** Time after its first event in which a stream of a crashing prompt has been broken off. */
    public static final long SURVIVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final long FIRST_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final int MAX_DOUBLINGS = 5;

    /** Crashes by one request that was admitted again, after which it is not for a long time. */
    static final int MAX_REQUEST_TRIALS = 3;

    private static final long LAST_REQUEST_PERIOD_NANOS = TimeUnit.DAYS.toNanos(1);

    /** Time after which a request that was admitted again counts as lost without a result. */
    private static final long TRIAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Retry delay for callers while another request is tried. */
    private static final long TRIAL_RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final int MAX_ENTRIES = 64;
    private static final int MAX_CHANGES = 256;

    private final CrashEvidence mEvidence = new CrashEvidence();
    private final Map<Set<PromptPartId>, Entry> mEntries = new HashMap<>();
    private final List<Change> mChanges = new ArrayList<>();

    private static final class Entry {
        private final long mSinceNanos;
        private int mStrikes;
        private long mUntilNanos;
        private boolean mOnTrial;
        private long mTrialUntilNanos;

        Entry(int strikes, long untilNanos, long nowNanos) {
            mSinceNanos = nowNanos;
            mStrikes = strikes;
            mUntilNanos = untilNanos;
        }
    }

    /**
     * A change of the quarantine. Immutable.
     *
     * @param kind what has changed
     * @param parts the parts of the prompts concerned
     * @param strikes how often requests with them have been admitted again and crashed an engine
     * @param millis how long requests with them are refused, in milliseconds; zero if they are not
     */
    public record Change(Kind kind, Set<PromptPartId> parts, int strikes, long millis) {
        /** The kinds of changes. */
        public enum Kind {
            /** The parts are taken as the cause of crashes. */
            STARTED,
            /** Another host has found that the parts crash engines. */
            ADOPTED,
            /** One request with the parts is admitted again. */
            TRIAL,
            /** An answer to a request with the parts has survived. */
            ENDED
        }
    }

    /** Records that a request was placed. */
    public synchronized void recordPlaced(long nowNanos) {
        mEvidence.recordTraffic(nowNanos);
    }

    /**
     * Returns how long a prompt is to be kept from engines, in nanoseconds; zero if a request with
     * it may be placed now. If it is the one that is tried again, others are refused meanwhile.
     */
    public synchronized long admit(List<PromptPartId> prompt, long nowNanos) {
        long remainingNanos = remainingNanos(prompt, nowNanos);
        if (remainingNanos > 0) {
            return remainingNanos;
        }
        List<Set<PromptPartId>> expired = containedIn(prompt);
        if (expired.stream().map(mEntries::get).anyMatch(entry -> isTried(entry, nowNanos))) {
            return TRIAL_RETRY_NANOS;
        }
        expired.forEach(parts -> startTrial(parts, nowNanos));
        return 0;
    }

    /** Returns how long a prompt is to be kept from engines, in nanoseconds; zero if it is not. */
    public synchronized long remainingNanos(List<PromptPartId> prompt, long nowNanos) {
        return containedIn(prompt).stream()
                .mapToLong(parts -> mEntries.get(parts).mUntilNanos - nowNanos)
                .filter(nanos -> nanos > 0)
                .max()
                .orElse(0);
    }

    /** Returns whether a prompt is refused, or may be tried again by one request at a time. */
    public synchronized boolean concerns(List<PromptPartId> prompt) {
        return !containedIn(prompt).isEmpty();
    }

    /** Returns when an answer with any of the parts began that survived last, if one is known. */
    public synchronized OptionalLong lastSurvivalNanos(List<PromptPartId> prompt) {
        return mEvidence.lastSurvivalNanos(prompt);
    }

    private List<Set<PromptPartId>> containedIn(List<PromptPartId> prompt) {
        return mEntries.isEmpty()
                ? List.of()
                : mEntries.keySet().stream().filter(prompt::containsAll).toList();
    }

    private static boolean isTried(Entry entry, long nowNanos) {
        return entry.mOnTrial && nowNanos - entry.mTrialUntilNanos < 0;
    }

    private void startTrial(Set<PromptPartId> parts, long nowNanos) {
        Entry entry = mEntries.get(parts);
        entry.mOnTrial = true;
        entry.mTrialUntilNanos = nowNanos + TRIAL_NANOS;
        recordChange(Change.Kind.TRIAL, parts, entry, nowNanos);
    }

    /**
     * Records an answer that its engine has survived: it is complete, or has gone on for {@link
     * #SURVIVAL_NANOS}.
     *
     * @param beganNanos when its first event arrived
     */
    public synchronized void recordSurvival(
            List<PromptPartId> prompt, long beganNanos, long nowNanos) {
        mEvidence.recordSurvival(prompt, beganNanos);
        containedIn(prompt).stream()
                .filter(parts -> beganNanos - mEntries.get(parts).mSinceNanos > 0)
                .forEach(
                        parts -> {
                            Entry entry = mEntries.remove(parts);
                            entry.mUntilNanos = nowNanos;
                            recordChange(Change.Kind.ENDED, parts, entry, nowNanos);
                        });
    }

    /** Records a stream that its engine has broken off before it counts as survived. */
    public synchronized void recordBrokenStream(
            BackendServerId engine, List<PromptPartId> prompt, long nowNanos) {
        containedIn(prompt).stream()
                .filter(parts -> mEntries.get(parts).mUntilNanos - nowNanos <= 0)
                .forEach(parts -> startNextPeriod(parts, nowNanos));
        mEvidence
                .recordBrokenStream(engine, prompt, Set.copyOf(mEntries.keySet()), nowNanos)
                .filter(parts -> mEntries.keySet().stream().noneMatch(parts::containsAll))
                .ifPresent(parts -> start(parts, nowNanos));
    }

    private void startNextPeriod(Set<PromptPartId> parts, long nowNanos) {
        Entry entry = mEntries.get(parts);
        entry.mOnTrial = false;
        entry.mStrikes++;
        entry.mUntilNanos = nowNanos + periodNanos(parts, entry.mStrikes);
        recordChange(Change.Kind.STARTED, parts, entry, nowNanos);
    }

    private static long periodNanos(Set<PromptPartId> parts, int strikes) {
        boolean isOneRequest = parts.stream().anyMatch(RequestFingerprint::isFingerprint);
        if (isOneRequest && strikes >= MAX_REQUEST_TRIALS) {
            return LAST_REQUEST_PERIOD_NANOS;
        }
        return FIRST_PERIOD_NANOS << Math.min(strikes, MAX_DOUBLINGS);
    }

    /** Fewer parts replace a larger set that contains them. */
    private void start(Set<PromptPartId> parts, long nowNanos) {
        mEntries.keySet().removeIf(larger -> larger.containsAll(parts));
        Entry entry = new Entry(0, nowNanos + periodNanos(parts, 0), nowNanos);
        add(parts, entry);
        mEvidence.forgetBystanders(parts);
        recordChange(Change.Kind.STARTED, parts, entry, nowNanos);
    }

    private void add(Set<PromptPartId> parts, Entry entry) {
        mEntries.put(Set.copyOf(parts), entry);
        if (mEntries.size() > MAX_ENTRIES) {
            Optional<Set<PromptPartId>> first =
                    mEntries.entrySet().stream()
                            .min(Comparator.comparingLong(e -> e.getValue().mUntilNanos))
                            .map(Map.Entry::getKey);
            first.ifPresent(mEntries::remove);
        }
    }

    /** Returns the parts in quarantine, to tell other hosts. */
    public synchronized List<QuarantinedPrompt> list(long nowNanos) {
        return mEntries.entrySet().stream()
                .filter(e -> e.getValue().mUntilNanos - nowNanos > 0)
                .map(
                        e ->
                                new QuarantinedPrompt(
                                        e.getKey(),
                                        e.getValue().mStrikes,
                                        remainingMillis(e.getValue(), nowNanos)))
                .toList();
    }

    private static long remainingMillis(Entry entry, long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(Math.max(0, entry.mUntilNanos - nowNanos));
    }

    /**
     * Adopts what another host reports. What this host knows as well is not prolonged, since the
     * report may be an echo of its own.
     */
    public synchronized void merge(List<QuarantinedPrompt> reported, long nowNanos) {
        reported.stream()
                .filter(prompt -> !prompt.parts().isEmpty())
                .filter(prompt -> isNews(prompt))
                .forEach(
                        prompt -> {
                            long millis = prompt.remainingMillis();
                            long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
                            Entry entry = new Entry(prompt.strikes(), untilNanos, nowNanos);
                            add(prompt.parts(), entry);
                            recordChange(Change.Kind.ADOPTED, prompt.parts(), entry, nowNanos);
                        });
    }

    private boolean isNews(QuarantinedPrompt prompt) {
        Entry entry = mEntries.get(prompt.parts());
        return entry == null || entry.mStrikes < prompt.strikes();
    }

    private void recordChange(
            Change.Kind kind, Set<PromptPartId> parts, Entry entry, long nowNanos) {
        if (mChanges.size() < MAX_CHANGES) {
            mChanges.add(new Change(kind, parts, entry.mStrikes, remainingMillis(entry, nowNanos)));
        }
    }

    /** Returns and forgets the changes since the last call. */
    public synchronized List<Change> drainChanges() {
        List<Change> changes = List.copyOf(mChanges);
        mChanges.clear();
        return changes;
    }

    /** Returns the number of sets of parts that are refused or tried. */
    public synchronized int size() {
        return mEntries.size();
    }
}
