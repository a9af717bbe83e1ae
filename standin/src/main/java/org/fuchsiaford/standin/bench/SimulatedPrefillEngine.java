package org.fuchsiaford.standin.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.standin.engine.EngineProfile;
import org.fuchsiaford.standin.engine.KvBlockManager;

/**
 * A simulated prefill engine that computes one prompt at a time. It has a prefix cache of blocks,
 * and its results expire. Not thread-safe.
 */
final class SimulatedPrefillEngine {
    private final BackendServerId mId;
    private final EngineProfile mProfile;
    private final VirtualTimeScheduler mScheduler;
    private final Deque<Job> mQueue = new ArrayDeque<>();
    private final Map<Attempt, Boolean> mResults = new HashMap<>();
    private KvBlockManager mBlocks;
    private Job mRunning;
    private boolean mDown;
    private long mIncarnation;
    private long mComputedTokens;

    private record Job(Attempt attempt, Runnable done, Runnable failed) {}

    SimulatedPrefillEngine(
            BackendServerId id, EngineProfile profile, VirtualTimeScheduler scheduler) {
        mId = id;
        mProfile = profile;
        mScheduler = scheduler;
        mBlocks = new KvBlockManager(profile.blocks());
    }

    BackendServerId id() {
        return mId;
    }

    long computedTokens() {
        return mComputedTokens;
    }

    /** Returns the number of queued and running prefills. */
    int load() {
        return mQueue.size() + (mRunning == null ? 0 : 1);
    }

    int freeBlocks() {
        return mBlocks.freeBlocks();
    }

    List<KvBlockManager.CacheChange> takeCacheChanges() {
        return mBlocks.takeCacheChanges();
    }

    void prefill(Attempt attempt, Runnable done, Runnable failed) {
        if (mDown) {
            failed.run();
            return;
        }
        mQueue.add(new Job(attempt, done, failed));
        startNext();
    }

    private void startNext() {
        if (mRunning != null || mQueue.isEmpty()) {
            return;
        }
        Job job = mQueue.poll();
        Attempt attempt = job.attempt();
        int blocks = mProfile.blocks(attempt.promptTokens());
        if (!mBlocks.allocate(attempt.key(), blocks)) {
            job.failed().run();
            startNext();
            return;
        }
        mRunning = job;
        int cached = mBlocks.cachedBlocks(attempt.prefixHashes()) * mProfile.blockTokens();
        int tokens = Math.max(attempt.promptTokens() - cached, 1);
        mComputedTokens += tokens;
        attempt.setComputedTokens(tokens);
        long incarnation = mIncarnation;
        mScheduler.schedule(mProfile.prefillNanos(tokens), () -> finish(job, incarnation));
    }

    private void finish(Job job, long incarnation) {
        if (incarnation != mIncarnation) {
            return;
        }
        mRunning = null;
        mBlocks.cache(job.attempt().prefixHashes());
        mResults.put(job.attempt(), Boolean.TRUE);
        mScheduler.schedule(mProfile.resultTtlNanos(), () -> expire(job.attempt()));
        job.done().run();
        startNext();
    }

    private void expire(Attempt attempt) {
        if (mResults.remove(attempt) != null) {
            mBlocks.release(attempt.key());
        }
    }

    /** Claims a result for transfer; returns false if it has expired or was lost. */
    boolean claimResult(Attempt attempt) {
        return mResults.remove(attempt) != null;
    }

    /** Releases the blocks of a result after its transfer. */
    void release(Attempt attempt) {
        mBlocks.release(attempt.key());
    }

    /** Crashes the engine: all requests fail and all memory is lost. */
    void crash() {
        mDown = true;
        mIncarnation++;
        List<Job> lost = new ArrayList<>(mQueue);
        if (mRunning != null) {
            lost.add(mRunning);
        }
        mQueue.clear();
        mRunning = null;
        mResults.clear();
        mBlocks = new KvBlockManager(mProfile.blocks());
        lost.forEach(job -> job.failed().run());
    }

    void restart() {
        mDown = false;
    }
}
