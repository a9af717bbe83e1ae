package org.fuchsiaford.prompt;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.backend.BackendServerId;

/**
 * What crashes of engines and answers that survived say about the parts of prompts.
 *
 * <p>A crash breaks off every stream of its engine, so each of their parts is suspected at first. A
 * part is cleared by any answer that began after the crash and survived. One that is in the prompts
 * of several crashes and of no answer since is taken as the cause.
 *
 * <p>Invariant: memory is bounded by the constants of this class. Not thread-safe.
 */
final class CrashEvidence {
    private static final long MEMORY_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final int MAX_BROKEN_STREAMS = 256;
    private static final int MAX_PARTS = 4_096;

    /** Streams of one crash are broken off within this time at all hosts. */
    private static final long CRASH_SPREAD_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final int MIN_ENGINES = 2;

    /** Engines for a prompt that is sent again unchanged; other prompts may have been with it. */
    private static final int MIN_ENGINES_OF_ONE_PROMPT = 3;

    /** Time in which answers with a part that is in common use are expected to survive. */
    private static final long COMMON_USE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /**
     * Separate crashes after which a part in common use is suspected. Several engines that fail
     * together, for a cause of their own, count as one crash.
     */
    private static final int MIN_SEPARATE_CRASHES = 4;

    /** A pause in the traffic after which it is not known any more which parts are in use. */
    private static final long MAX_GAP_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Deque<BrokenStream> mBrokenStreams = new ArrayDeque<>();
    private final Map<PromptPartId, Long> mSurvivedNanos =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<PromptPartId, Long> eldest) {
                    return size() > MAX_PARTS;
                }
            };
    private boolean mHasTraffic;
    private long mTrafficSinceNanos;
    private long mLastTrafficNanos;

    /** A stream that was broken off when its answer had just begun or was about to. */
    private record BrokenStream(BackendServerId engine, Set<PromptPartId> prompt, long atNanos) {
        boolean isOfSameCrash(BrokenStream other) {
            return engine.equals(other.engine)
                    && Math.abs(atNanos - other.atNanos) <= CRASH_SPREAD_NANOS;
        }
    }

    /** Records that a request was placed. */
    void recordTraffic(long nowNanos) {
        if (!mHasTraffic || nowNanos - mLastTrafficNanos > MAX_GAP_NANOS) {
            mHasTraffic = true;
            mTrafficSinceNanos = nowNanos;
        }
        mLastTrafficNanos = nowNanos;
    }

    /** Returns when an answer with any of the parts began that survived last, if one is known. */
    OptionalLong lastSurvivalNanos(List<PromptPartId> prompt) {
        return prompt.stream()
                .map(mSurvivedNanos::get)
                .filter(Objects::nonNull)
                .mapToLong(Long::longValue)
                .reduce(CrashEvidence::later);
    }

    /** Records an answer that its engine has survived. */
    void recordSurvival(List<PromptPartId> prompt, long beganNanos) {
        prompt.forEach(part -> mSurvivedNanos.merge(part, beganNanos, CrashEvidence::later));
    }

    private static long later(long nanos, long otherNanos) {
        return nanos - otherNanos > 0 ? nanos : otherNanos;
    }

    /**
     * Records a stream that was broken off, and returns the parts that this and earlier crashes
     * have in common if they are taken as the cause.
     *
     * @param known the sets of parts that are known to crash engines
     */
    Optional<Set<PromptPartId>> recordBrokenStream(
            BackendServerId engine,
            List<PromptPartId> prompt,
            Set<Set<PromptPartId>> known,
            long nowNanos) {
        BrokenStream latest = new BrokenStream(engine, new LinkedHashSet<>(prompt), nowNanos);
        mBrokenStreams.removeIf(old -> nowNanos - old.atNanos() > MEMORY_NANOS);
        if (isBystander(latest, known)) {
            return Optional.empty();
        }
        mBrokenStreams.addLast(latest);
        if (mBrokenStreams.size() > MAX_BROKEN_STREAMS) {
            mBrokenStreams.removeFirst();
        }
        return prompt.stream()
                .map(this::unclearedStreams)
                .filter(streams -> !streams.isEmpty())
                .filter(this::isSufficient)
                .max(Comparator.comparingInt(List::size))
                .map(this::commonParts);
    }

    /** Returns whether another prompt at the same engine is known to have crashed it. */
    private boolean isBystander(BrokenStream latest, Set<Set<PromptPartId>> known) {
        return known.stream().noneMatch(latest.prompt()::containsAll)
                && mBrokenStreams.stream()
                        .filter(latest::isOfSameCrash)
                        .anyMatch(other -> known.stream().anyMatch(other.prompt()::containsAll));
    }

    /** Forgets the streams that crashes by the given parts have broken off besides. */
    void forgetBystanders(Set<PromptPartId> parts) {
        List<BrokenStream> causes =
                mBrokenStreams.stream()
                        .filter(broken -> broken.prompt().containsAll(parts))
                        .toList();
        mBrokenStreams.removeIf(
                broken ->
                        !broken.prompt().containsAll(parts)
                                && causes.stream().anyMatch(broken::isOfSameCrash));
    }

    /** Returns the streams of prompts with a part since an answer with it last survived. */
    private List<BrokenStream> unclearedStreams(PromptPartId part) {
        Long survivedNanos = mSurvivedNanos.get(part);
        return mBrokenStreams.stream()
                .filter(broken -> broken.prompt().contains(part))
                .filter(broken -> survivedNanos == null || broken.atNanos() - survivedNanos > 0)
                .toList();
    }

    private boolean isSufficient(List<BrokenStream> streams) {
        long engines = streams.stream().map(BrokenStream::engine).distinct().count();
        long prompts = streams.stream().map(BrokenStream::prompt).distinct().count();
        boolean many = engines >= (prompts > 1 ? MIN_ENGINES : MIN_ENGINES_OF_ONE_PROMPT);
        return many
                && (hasPartOutOfUse(streams) || separateCrashes(streams) >= MIN_SEPARATE_CRASHES);
    }

    private boolean hasPartOutOfUse(List<BrokenStream> streams) {
        return suspects(streams).stream().anyMatch(part -> !isInCommonUse(part, streams));
    }

    /** Returns the parts that all of the prompts contain and that no answer since has cleared. */
    private Set<PromptPartId> suspects(List<BrokenStream> streams) {
        Set<PromptPartId> suspects = new LinkedHashSet<>(streams.get(0).prompt());
        streams.forEach(broken -> suspects.retainAll(broken.prompt()));
        suspects.removeIf(part -> unclearedStreams(part).size() < streams.size());
        return suspects;
    }

    /** Returns the suspects, without those in common use if there are others. */
    private Set<PromptPartId> commonParts(List<BrokenStream> streams) {
        Set<PromptPartId> parts = suspects(streams);
        if (hasPartOutOfUse(streams)) {
            parts.removeIf(part -> isInCommonUse(part, streams));
        }
        return parts;
    }

    /**
     * Returns whether answers with a part survived shortly before; true if that is not known. For
     * fingerprints it is known: hosts report it with the crash.
     */
    private boolean isInCommonUse(PromptPartId part, List<BrokenStream> streams) {
        long sinceNanos = streams.get(0).atNanos() - COMMON_USE_NANOS;
        Long survivedNanos = mSurvivedNanos.get(part);
        boolean unknown = !mHasTraffic || mTrafficSinceNanos - sinceNanos > 0;
        return unknown && !RequestFingerprint.isFingerprint(part)
                || survivedNanos != null && survivedNanos - sinceNanos > 0;
    }

    private static int separateCrashes(List<BrokenStream> streams) {
        int count = 0;
        long lastNanos = 0;
        for (BrokenStream broken : streams) {
            if (count == 0 || broken.atNanos() - lastNanos > CRASH_SPREAD_NANOS) {
                count++;
                lastNanos = broken.atNanos();
            }
        }
        return count;
    }
}
