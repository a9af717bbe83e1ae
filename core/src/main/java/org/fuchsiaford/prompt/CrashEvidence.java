package org.fuchsiaford.prompt;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
    private static final int MAX_BREAKS = 256;
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

    private final Deque<Break> mBreaks = new ArrayDeque<>();
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
    private record Break(BackendServerId engine, Set<PromptPartId> prompt, long atNanos) {
        boolean isOfSameCrash(Break other) {
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
    Optional<Set<PromptPartId>> recordBreak(
            BackendServerId engine,
            List<PromptPartId> prompt,
            Set<Set<PromptPartId>> known,
            long nowNanos) {
        Break latest = new Break(engine, new LinkedHashSet<>(prompt), nowNanos);
        mBreaks.removeIf(old -> nowNanos - old.atNanos() > MEMORY_NANOS);
        if (isExplained(latest, known)) {
            return Optional.empty();
        }
        mBreaks.addLast(latest);
        if (mBreaks.size() > MAX_BREAKS) {
            mBreaks.removeFirst();
        }
        return prompt.stream()
                .map(this::unclearedBreaks)
                .filter(breaks -> !breaks.isEmpty())
                .filter(this::isSufficient)
                .max(Comparator.comparingInt(List::size))
                .map(this::commonParts);
    }

    /** Returns whether another prompt at the same engine is known to have crashed it. */
    private boolean isExplained(Break latest, Set<Set<PromptPartId>> known) {
        return known.stream().noneMatch(latest.prompt()::containsAll)
                && mBreaks.stream()
                        .filter(latest::isOfSameCrash)
                        .anyMatch(other -> known.stream().anyMatch(other.prompt()::containsAll));
    }

    /** Forgets the streams that crashes by the given parts have broken off besides. */
    void explain(Set<PromptPartId> parts) {
        List<Break> causes = mBreaks.stream().filter(b -> b.prompt().containsAll(parts)).toList();
        mBreaks.removeIf(
                b -> !b.prompt().containsAll(parts) && causes.stream().anyMatch(b::isOfSameCrash));
    }

    /** Returns the breaks of prompts with a part since an answer with it last survived. */
    private List<Break> unclearedBreaks(PromptPartId part) {
        Long survivedNanos = mSurvivedNanos.get(part);
        return mBreaks.stream()
                .filter(b -> b.prompt().contains(part))
                .filter(b -> survivedNanos == null || b.atNanos() - survivedNanos > 0)
                .toList();
    }

    private boolean isSufficient(List<Break> breaks) {
        long engines = breaks.stream().map(Break::engine).distinct().count();
        long prompts = breaks.stream().map(Break::prompt).distinct().count();
        boolean many = engines >= (prompts > 1 ? MIN_ENGINES : MIN_ENGINES_OF_ONE_PROMPT);
        return many && (hasPartOutOfUse(breaks) || separateCrashes(breaks) >= MIN_SEPARATE_CRASHES);
    }

    private boolean hasPartOutOfUse(List<Break> breaks) {
        return suspects(breaks).stream().anyMatch(part -> !isInCommonUse(part, breaks));
    }

    /** Returns the parts that all of the prompts contain and that no answer since has cleared. */
    private Set<PromptPartId> suspects(List<Break> breaks) {
        Set<PromptPartId> suspects = new LinkedHashSet<>(breaks.get(0).prompt());
        breaks.forEach(b -> suspects.retainAll(b.prompt()));
        suspects.removeIf(part -> unclearedBreaks(part).size() < breaks.size());
        return suspects;
    }

    /** Returns the suspects, without those in common use if there are others. */
    private Set<PromptPartId> commonParts(List<Break> breaks) {
        Set<PromptPartId> parts = suspects(breaks);
        if (hasPartOutOfUse(breaks)) {
            parts.removeIf(part -> isInCommonUse(part, breaks));
        }
        return parts;
    }

    /** Returns whether answers with a part survived shortly before; true if that is not known. */
    private boolean isInCommonUse(PromptPartId part, List<Break> breaks) {
        long sinceNanos = breaks.get(0).atNanos() - COMMON_USE_NANOS;
        Long survivedNanos = mSurvivedNanos.get(part);
        boolean unknown = !mHasTraffic || mTrafficSinceNanos - sinceNanos > 0;
        return unknown || survivedNanos != null && survivedNanos - sinceNanos > 0;
    }

    private static int separateCrashes(List<Break> breaks) {
        int count = 0;
        long lastNanos = 0;
        for (Break b : breaks) {
            if (count == 0 || b.atNanos() - lastNanos > CRASH_SPREAD_NANOS) {
                count++;
                lastNanos = b.atNanos();
            }
        }
        return count;
    }
}
