package org.fuchsiaford.entry;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.EventExecutorGroup;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.StreamSupport;
import org.jboss.logging.Logger;

/**
 * Ends a process that cannot serve any more, so that it is started again: one of its event loops
 * has not run a task for a long time, for example since the heap is exhausted.
 *
 * <p>Invariant: time in which the whole process does not run does not count, since this class
 * counts its own rounds. Thread-safe.
 */
final class EventLoopWatchdog {
    private static final Logger LOG = Logger.getLogger(EventLoopWatchdog.class);
    private static final Duration ROUND = Duration.ofMillis(1_000);
    private static final int MAX_BLOCKED_ROUNDS = 15;

    private final List<Loop> mLoops;
    private final Runnable mOnBlocked;
    private final Duration mRound;

    private static final class Loop {
        private final EventExecutor mExecutor;
        private final AtomicBoolean mHasRun = new AtomicBoolean(true);
        private int mBlockedRounds;

        Loop(EventExecutor executor) {
            mExecutor = executor;
        }

        /** Checks whether the task of the last round has run; only then a new one is queued. */
        boolean isBlocked() {
            if (mHasRun.getAndSet(false)) {
                mBlockedRounds = 0;
                mExecutor.execute(() -> mHasRun.set(true));
            } else {
                mBlockedRounds++;
            }
            return mBlockedRounds >= MAX_BLOCKED_ROUNDS;
        }
    }

    /**
     * Creates a watchdog.
     *
     * @param onBlocked called once if an event loop is blocked
     * @param round the time between two checks
     */
    EventLoopWatchdog(EventExecutorGroup loops, Runnable onBlocked, Duration round) {
        mLoops = StreamSupport.stream(loops.spliterator(), false).map(Loop::new).toList();
        mOnBlocked = onBlocked;
        mRound = round;
    }

    /** Watches event loops from now on, and ends the process if one of them is blocked. */
    static void start(EventExecutorGroup loops) {
        new EventLoopWatchdog(loops, EventLoopWatchdog::endProcess, ROUND).start();
    }

    /** Starts to watch, in a thread that does not keep the process alive. */
    void start() {
        Thread thread = new Thread(this::run, "event-loop-watchdog");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            while (mLoops.stream().filter(Loop::isBlocked).findAny().isEmpty()) {
                Thread.sleep(mRound.toMillis());
            }
            mOnBlocked.run();
        } catch (RejectedExecutionException e) {
            LOG.debug("the event loops have ended with the process", e);
        } catch (InterruptedException e) {
            LOG.info("the event loops are not watched any more", e);
        }
    }

    /** Ends the process without its shutdown hooks, which may need the blocked event loop. */
    private static void endProcess() {
        LOG.fatalf(
                "an event loop has been blocked for %d s; the process ends",
                MAX_BLOCKED_ROUNDS * ROUND.toSeconds());
        Runtime.getRuntime().halt(1);
    }
}
