package org.fuchsiaford.entry.gateway.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Reads that several wait for, in virtual time. */
class SharedReadTest {
    private static final long INTERVAL_MILLIS = 250;

    private final VirtualTimeScheduler mScheduler = VirtualTimeScheduler.getOrSet();
    private final AtomicInteger mReads = new AtomicInteger();
    private final AtomicInteger mServed = new AtomicInteger();
    private final SharedRead mRead =
            new SharedRead(
                    () -> Mono.fromRunnable(mReads::incrementAndGet),
                    TimeUnit.MILLISECONDS.toNanos(INTERVAL_MILLIS),
                    () -> mScheduler.now(TimeUnit.NANOSECONDS));

    @AfterTry
    void resetScheduler() {
        VirtualTimeScheduler.reset();
    }

    private void ask() {
        mRead.next().subscribe(done -> {}, e -> {}, mServed::incrementAndGet);
    }

    private void advance(long millis) {
        mScheduler.advanceTimeBy(Duration.ofMillis(millis));
    }

    @Example
    void thoseWhoAskWhileAReadIsDueShareIt() {
        ask();
        advance(1);
        assertThat(mReads).hasValue(1);
        ask();
        ask();
        advance(INTERVAL_MILLIS - 2);
        assertThat(mReads).hasValue(1);
        assertThat(mServed).hasValue(1);
        advance(1);
        assertThat(mReads).hasValue(2);
        assertThat(mServed).hasValue(3);
    }

    @Example
    void aReadThatHasBegunServesNobodyWhoAsksLater() {
        ask();
        advance(INTERVAL_MILLIS);
        ask();
        advance(1);
        assertThat(mReads).hasValue(2);
    }
}
