package org.fuchsiaford.entry.gateway.log;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jboss.logging.Logger;

/**
 * Writes decisions as JSON, one a line, from a thread of its own.
 *
 * <p>Invariant: {@link #write} never waits; what does not fit is counted and reported. Of one kind
 * at most {@link #MAX_LINES_PER_SECOND} lines are written in a second. Thread-safe.
 */
public final class DecisionLog {
    private static final Logger LOG = Logger.getLogger("org.fuchsiaford.decisions");

    /** Several times the requests that a small host serves at its worst. */
    private static final int MAX_LINES_PER_SECOND = 200;

    private static final int QUEUE_LINES = 4_096;

    /** Lines are written together, since each write costs a system call. */
    private static final long BATCH_MILLIS = 20;

    private final BlockingQueue<Line> mQueue = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final Semaphore mArrived = new Semaphore(0);
    private final AtomicLong mOverflowed = new AtomicLong();
    private final Map<String, Integer> mWritten = new HashMap<>();
    private final Map<String, Integer> mLeftOut = new HashMap<>();
    private final JsonMapper mMapper =
            JsonMapper.builder().serializationInclusion(JsonInclude.Include.NON_NULL).build();
    private final String mHost;
    private long mSecond;

    private record Line(long atMillis, Decision decision) {}

    /**
     * Creates a log.
     *
     * @param host the host's name, part of each line
     */
    public DecisionLog(String host) {
        mHost = host;
    }

    /** Starts the thread that writes. */
    public void start() {
        Thread writer = new Thread(this::run, "decision-log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Hands a decision to the writer; never waits. */
    public void write(Decision decision) {
        if (!mQueue.offer(new Line(System.currentTimeMillis(), decision))) {
            mOverflowed.incrementAndGet();
        }
        mArrived.release();
    }

    /** Writes all that waits; also for the end of the process. */
    public synchronized void flush() {
        List<Line> lines = new ArrayList<>();
        mQueue.drainTo(lines);
        write(lines);
    }

    private void run() {
        try {
            while (true) {
                mArrived.acquire();
                mArrived.drainPermits();
                TimeUnit.MILLISECONDS.sleep(BATCH_MILLIS);
                flush();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void write(List<Line> lines) {
        StringBuilder text = new StringBuilder();
        lines.forEach(line -> append(text, line));
        if (text.length() > 0) {
            text.setLength(text.length() - 1);
            LOG.info(text);
        }
    }

    private void append(StringBuilder text, Line line) {
        long second = TimeUnit.MILLISECONDS.toSeconds(line.atMillis());
        if (second != mSecond) {
            mSecond = second;
            reportLeftOut(text, line.atMillis());
            mWritten.clear();
        }
        String kind = line.decision().getClass().getSimpleName();
        if (mWritten.merge(kind, 1, Integer::sum) > MAX_LINES_PER_SECOND) {
            mLeftOut.merge(kind, 1, Integer::sum);
            return;
        }
        text.append(render(line)).append('\n');
    }

    private void reportLeftOut(StringBuilder text, long atMillis) {
        long overflowed = mOverflowed.getAndSet(0);
        if (overflowed > 0) {
            mLeftOut.merge("any", (int) overflowed, Integer::sum);
        }
        if (mLeftOut.isEmpty()) {
            return;
        }
        List<String> kinds =
                mLeftOut.entrySet().stream().map(e -> e.getKey() + "=" + e.getValue()).toList();
        mLeftOut.clear();
        text.append(render(new Line(atMillis, new Decision.Dropped(kinds)))).append('\n');
    }

    private String render(Line line) {
        ObjectNode node = mMapper.createObjectNode();
        node.put("at", Instant.ofEpochMilli(line.atMillis()).toString());
        node.put("host", mHost);
        node.put("event", line.decision().getClass().getSimpleName());
        node.setAll((ObjectNode) mMapper.valueToTree(line.decision()));
        try {
            return mMapper.writeValueAsString(node);
        } catch (JsonProcessingException e) {
            return "{\"event\":\"Unwritable\",\"reason\":\"" + e.getOriginalMessage() + "\"}";
        }
    }
}
