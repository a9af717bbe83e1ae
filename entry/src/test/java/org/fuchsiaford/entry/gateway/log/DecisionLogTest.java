package org.fuchsiaford.entry.gateway.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

/** Tests that a flush writes all decisions, and that lines beyond the rate limit are counted. */
class DecisionLogTest {
    private static final Logger DECISIONS = Logger.getLogger("org.fuchsiaford.decisions");
    private static final int FLUSHES = 40;

    private final List<String> mLines = new CopyOnWriteArrayList<>();
    private final Handler mHandler =
            new Handler() {
                @Override
                public void publish(LogRecord record) {
                    record.getMessage().lines().forEach(mLines::add);
                }

                @Override
                public void flush() {}

                @Override
                public void close() {}
            };
    private final DecisionLog mLog = new DecisionLog("host-1");

    DecisionLogTest() {
        DECISIONS.addHandler(mHandler);
    }

    @AfterTry
    void removeHandler() {
        DECISIONS.removeHandler(mHandler);
    }

    @Example
    void aFlushWritesAllQueuedDecisions() throws InterruptedException {
        mLog.start();
        for (int i = 1; i <= FLUSHES; i++) {
            mLog.write(new Decision.Lifecycle("stopped", "try " + i));
            // The writer thread has seen the line and waits to batch it with others.
            Thread.sleep(2);
            mLog.flush();
            assertThat(mLines).hasSize(i);
        }
    }

    @Example
    void aLineNamesHostEventAndInputs() {
        mLog.write(new Decision.LimitShare(0.5, 3, 6));
        mLog.flush();
        assertThat(mLines.get(0))
                .contains(
                        "\"host\":\"host-1\"",
                        "\"event\":\"LimitShare\"",
                        "\"share\":0.5",
                        "\"reachableHosts\":3");
    }

    @Example
    void linesOfOneKindAreBoundedAndTheRestIsCounted() throws InterruptedException {
        for (int i = 0; i < 1_000; i++) {
            mLog.write(new Decision.LimitShare(1, 1, 1));
        }
        mLog.flush();
        // The test may span two seconds; at most 200 lines are written in each.
        assertThat(mLines.size()).isLessThanOrEqualTo(402);
        Thread.sleep(1_100);
        mLog.write(new Decision.Lifecycle("started", null));
        mLog.flush();
        assertThat(mLines).anyMatch(line -> line.contains("\"Dropped\""));
    }
}
