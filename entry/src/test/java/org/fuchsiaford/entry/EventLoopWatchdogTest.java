package org.fuchsiaford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.concurrent.DefaultEventExecutorGroup;
import io.netty.util.concurrent.EventExecutorGroup;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

/** Guards against a process that lives on although one of its event loops is blocked. */
class EventLoopWatchdogTest {
    private static final Duration ROUND = Duration.ofMillis(5);

    private final EventExecutorGroup mLoops = new DefaultEventExecutorGroup(2);
    private final CountDownLatch mBlocked = new CountDownLatch(1);
    private final CountDownLatch mEnd = new CountDownLatch(1);

    @AfterTry
    void close() {
        mEnd.countDown();
        mLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private boolean isReportedBlocked() throws InterruptedException {
        new EventLoopWatchdog(mLoops, mBlocked::countDown, ROUND).start();
        return mBlocked.await(500, TimeUnit.MILLISECONDS);
    }

    @Example
    void aBlockedEventLoopIsReported() throws InterruptedException {
        mLoops.next().execute(this::awaitEnd);
        assertThat(isReportedBlocked()).isTrue();
    }

    private void awaitEnd() {
        try {
            mEnd.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Example
    void idleEventLoopsAreNotReported() throws InterruptedException {
        assertThat(isReportedBlocked()).isFalse();
    }

    /** A process that ends its event loops before itself must not print an exception about that. */
    @Example
    void eventLoopsThatHaveEndedAreNoFailure() throws InterruptedException {
        CountDownLatch uncaught = new CountDownLatch(1);
        Thread.UncaughtExceptionHandler former = Thread.getDefaultUncaughtExceptionHandler();
        Thread.setDefaultUncaughtExceptionHandler((thread, error) -> uncaught.countDown());
        try {
            mLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS).await();
            assertThat(isReportedBlocked()).isFalse();
            assertThat(uncaught.getCount()).isEqualTo(1);
        } finally {
            Thread.setDefaultUncaughtExceptionHandler(former);
        }
    }
}
