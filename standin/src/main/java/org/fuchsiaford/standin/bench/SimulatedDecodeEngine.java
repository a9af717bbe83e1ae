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
 * A decode engine in virtual time: continuous batching in seats, memory in pieces, a transfer link
 * that carries one KV cache at a time. Requests beyond its seats wait, and their prefill results
 * may expire meanwhile. Not thread-safe.
 */
final class SimulatedDecodeEngine {
    private final BackendServerId mId;
    private final EngineProfile mProfile;
    private final EventLoop mLoop;
    private final Deque<Job> mWaiting = new ArrayDeque<>();
    private final Set<Job> mTransferring = new LinkedHashSet<>();
    private final Set<Job> mRunning = new LinkedHashSet<>();
    private KvBlockManager mBlocks;
    private long mLinkFreeNanos;
    private long mStallEndNanos;
    private boolean mStepping;
    private boolean mDown;
    private long mEpoch;

    /** What the router hears of a request. */
    interface Listener {
        void token();

        void finished();

        void failed();
    }

    private record Job(Attempt attempt, SimulatedPrefillEngine source, Listener listener) {}

    SimulatedDecodeEngine(BackendServerId id, EngineProfile profile, EventLoop loop) {
        mId = id;
        mProfile = profile;
        mLoop = loop;
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

    void decode(Attempt attempt, SimulatedPrefillEngine source, Listener listener) {
        if (mDown) {
            listener.failed();
            return;
        }
        mWaiting.add(new Job(attempt, source, listener));
        admit();
    }

    private void admit() {
        while (!mWaiting.isEmpty() && running() < mProfile.batchSlots()) {
            Job job = mWaiting.peek();
            int tokens = job.attempt().promptTokens() + job.attempt().run().request().maxTokens();
            if (!mBlocks.allocate(job.attempt().key(), mProfile.blocks(tokens))) {
                return;
            }
            mWaiting.poll();
            if (!job.source().takeResult(job.attempt())) {
                mBlocks.release(job.attempt().key());
                job.listener().failed();
                continue;
            }
            transfer(job);
        }
    }

    private void transfer(Job job) {
        mTransferring.add(job);
        long startNanos = Math.max(Math.max(mLinkFreeNanos, mLoop.nowNanos()), mStallEndNanos);
        mLinkFreeNanos = startNanos + mProfile.transferNanos(job.attempt().promptTokens());
        long epoch = mEpoch;
        mLoop.after(mLinkFreeNanos - mLoop.nowNanos(), () -> start(job, epoch));
    }

    private void start(Job job, long epoch) {
        job.source().release(job.attempt());
        if (epoch != mEpoch || !mTransferring.remove(job)) {
            return;
        }
        mRunning.add(job);
        if (!mStepping) {
            mStepping = true;
            step(mEpoch);
        }
    }

    private void step(long epoch) {
        if (epoch != mEpoch) {
            return;
        }
        if (mRunning.isEmpty()) {
            mStepping = false;
            return;
        }
        List<Job> batch = new ArrayList<>(mRunning);
        mLoop.after(
                mProfile.stepNanos(batch.size()),
                () -> {
                    if (epoch == mEpoch) {
                        batch.stream().filter(mRunning::contains).forEach(this::emit);
                        admit();
                        step(epoch);
                    }
                });
    }

    private void emit(Job job) {
        job.listener().token();
        if (job.attempt().run().isComplete()) {
            mRunning.remove(job);
            mBlocks.release(job.attempt().key());
            job.listener().finished();
        }
    }

    /** Drops a request that the router gave up on. */
    void cancel(Attempt attempt) {
        boolean held =
                mRunning.removeIf(job -> job.attempt() == attempt)
                        | mTransferring.removeIf(job -> job.attempt() == attempt);
        mWaiting.removeIf(job -> job.attempt() == attempt);
        if (held) {
            mBlocks.release(attempt.key());
            admit();
        }
    }

    /** Stalls the transfer link. */
    void stall(long durationNanos) {
        mStallEndNanos = mLoop.nowNanos() + durationNanos;
        mLinkFreeNanos = Math.max(mLinkFreeNanos, mStallEndNanos);
    }

    /** Dies: everything under way fails and all memory is lost. */
    void die() {
        mDown = true;
        mEpoch++;
        List<Job> lost = new ArrayList<>(mWaiting);
        lost.addAll(mTransferring);
        lost.addAll(mRunning);
        mWaiting.clear();
        mTransferring.clear();
        mRunning.clear();
        mStepping = false;
        mBlocks = new KvBlockManager(mProfile.blocks());
        lost.forEach(job -> job.listener().failed());
    }

    void comeBack() {
        mDown = false;
    }
}
