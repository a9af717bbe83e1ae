package org.fuchsiaford.standin.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.standin.engine.EngineProfile;
import org.fuchsiaford.standin.engine.KvBlockManager;

/**
 * A simulated decode engine with continuous batching in batch slots, KV cache blocks, and a
 * transfer link that carries one KV cache at a time. Requests without a batch slot wait, and their
 * prefill results may expire meanwhile. Not thread-safe.
 */
final class SimulatedDecodeEngine {
    private final BackendServerId mId;
    private final EngineProfile mProfile;
    private final VirtualTimeScheduler mScheduler;
    private final Deque<Job> mWaiting = new ArrayDeque<>();
    private final Set<Job> mTransferring = new LinkedHashSet<>();
    private final Set<Job> mRunning = new LinkedHashSet<>();
    private KvBlockManager mBlocks;
    private long mLinkFreeNanos;
    private long mStallEndNanos;
    private boolean mStepping;
    private boolean mDown;
    private long mIncarnation;

    /** Receives the events of a request. */
    interface DecodeListener {
        void onToken();

        void onFinished();

        void onFailed();
    }

    private record Job(Attempt attempt, SimulatedPrefillEngine source, DecodeListener listener) {}

    SimulatedDecodeEngine(
            BackendServerId id, EngineProfile profile, VirtualTimeScheduler scheduler) {
        mId = id;
        mProfile = profile;
        mScheduler = scheduler;
        mBlocks = new KvBlockManager(profile.blocks());
    }

    BackendServerId id() {
        return mId;
    }

    int running() {
        return mRunning.size() + mTransferring.size();
    }

    int waiting() {
        return mWaiting.size();
    }

    int freeBlocks() {
        return mBlocks.freeBlocks();
    }

    void decode(Attempt attempt, SimulatedPrefillEngine source, DecodeListener listener) {
        if (mDown) {
            listener.onFailed();
            return;
        }
        mWaiting.add(new Job(attempt, source, listener));
        admit();
    }

    private void admit() {
        while (!mWaiting.isEmpty() && running() < mProfile.batchSlots()) {
            Job job = mWaiting.peek();
            int tokens =
                    job.attempt().promptTokens() + job.attempt().progress().request().maxTokens();
            if (!mBlocks.allocate(job.attempt().key(), mProfile.blocks(tokens))) {
                return;
            }
            mWaiting.poll();
            if (!job.source().claimResult(job.attempt())) {
                mBlocks.release(job.attempt().key());
                job.listener().onFailed();
                continue;
            }
            transfer(job);
        }
    }

    private void transfer(Job job) {
        mTransferring.add(job);
        long startNanos = Math.max(Math.max(mLinkFreeNanos, mScheduler.nowNanos()), mStallEndNanos);
        mLinkFreeNanos = startNanos + mProfile.transferNanos(job.attempt().promptTokens());
        long incarnation = mIncarnation;
        mScheduler.schedule(mLinkFreeNanos - mScheduler.nowNanos(), () -> start(job, incarnation));
    }

    private void start(Job job, long incarnation) {
        job.source().release(job.attempt());
        if (incarnation != mIncarnation || !mTransferring.remove(job)) {
            return;
        }
        mRunning.add(job);
        if (!mStepping) {
            mStepping = true;
            step(mIncarnation);
        }
    }

    private void step(long incarnation) {
        if (incarnation != mIncarnation) {
            return;
        }
        if (mRunning.isEmpty()) {
            mStepping = false;
            return;
        }
        List<Job> batch = new ArrayList<>(mRunning);
        mScheduler.schedule(
                mProfile.stepNanos(batch.size()),
                () -> {
                    if (incarnation == mIncarnation) {
                        batch.stream().filter(mRunning::contains).forEach(this::emit);
                        admit();
                        step(incarnation);
                    }
                });
    }

    private void emit(Job job) {
        job.listener().onToken();
        if (job.attempt().progress().isComplete()) {
            mRunning.remove(job);
            mBlocks.release(job.attempt().key());
            job.listener().onFinished();
        }
    }

    /** Cancels a request. */
    void cancel(Attempt attempt) {
        boolean allocated =
                mRunning.removeIf(job -> job.attempt() == attempt)
                        | mTransferring.removeIf(job -> job.attempt() == attempt);
        mWaiting.removeIf(job -> job.attempt() == attempt);
        if (allocated) {
            mBlocks.release(attempt.key());
            admit();
        }
    }

    /** Stalls the transfer link for a duration. */
    void stall(long durationNanos) {
        mStallEndNanos = mScheduler.nowNanos() + durationNanos;
        mLinkFreeNanos = Math.max(mLinkFreeNanos, mStallEndNanos);
    }

    /** Crashes the engine: all requests fail and all memory is lost. */
    void crash() {
        mDown = true;
        mIncarnation++;
        List<Job> lost = new ArrayList<>(mWaiting);
        lost.addAll(mTransferring);
        lost.addAll(mRunning);
        mWaiting.clear();
        mTransferring.clear();
        mRunning.clear();
        mStepping = false;
        mBlocks = new KvBlockManager(mProfile.blocks());
        lost.forEach(job -> job.listener().onFailed());
    }

    void restart() {
        mDown = false;
    }
}
