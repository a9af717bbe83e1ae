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
 * Writes decisions to the log on a thread of its own, each as a JSON object on one line.
 *
 * <p>Invariant: {@link #write} never blocks; decisions that exceed the capacity of the queue are
 * counted and reported. At most {@link #MAX_LINES_PER_SECOND} lines of each kind are written per
 * second. Thread-safe.
 */
public final class DecisionLog {
    private static final Logger LOG = Logger.getLogger("org.fuchsiaford.decisions");

    /** Several times the peak request rate of a small host. */
    private static final int MAX_LINES_PER_SECOND = 200;

    private static final int QUEUE_CAPACITY = 4_096;

    /** Delay that collects lines into one write, since each write costs a system call. */
    private static final long BATCH_DELAY_MILLIS = 20;

    private final BlockingQueue<Line> mQueue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final Semaphore mQueuedSignal = new Semaphore(0);
    private final AtomicLong mOverflowCount = new AtomicLong();
    private final Map<String, Integer> mWrittenByKind = new HashMap<>();
    private final Map<String, Integer> mOmittedByKind = new HashMap<>();
    private final JsonMapper mMapper =
            JsonMapper.builder().serializationInclusion(JsonInclude.Include.NON_NULL).build();
    private final String mHost;
    private long mCurrentSecond;

    private record Line(long atMillis, Decision decision) {}

    /**
     * Creates a log.
     *
     * @param host the host name written on each line
     */
    public DecisionLog(String host) {
        mHost = host;
    }

    /** Starts the writer thread. */
    public void start() {
        Thread writer = new Thread(this::run, "decision-log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Queues a decision for the writer thread; never blocks. */
    public void write(Decision decision) {
        if (!mQueue.offer(new Line(System.currentTimeMillis(), decision))) {
            mOverflowCount.incrementAndGet();
        }
        mQueuedSignal.release();
    }

    /** Writes all queued decisions; also called before the process exits. */
    public synchronized void flush() {
        List<Line> lines = new ArrayList<>();
        mQueue.drainTo(lines);
        write(lines);
    }

    private void run() {
        try {
            while (true) {
                mQueuedSignal.acquire();
                mQueuedSignal.drainPermits();
                TimeUnit.MILLISECONDS.sleep(BATCH_DELAY_MILLIS);
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
        if (second != mCurrentSecond) {
            mCurrentSecond = second;
            appendOmitted(text, line.atMillis());
            mWrittenByKind.clear();
        }
        String kind = line.decision().getClass().getSimpleName();
        if (mWrittenByKind.merge(kind, 1, Integer::sum) > MAX_LINES_PER_SECOND) {
            mOmittedByKind.merge(kind, 1, Integer::sum);
            return;
        }
        text.append(render(line)).append('\n');
    }

    private void appendOmitted(StringBuilder text, long atMillis) {
        long overflowed = mOverflowCount.getAndSet(0);
        if (overflowed > 0) {
            mOmittedByKind.merge("any", (int) overflowed, Integer::sum);
        }
        if (mOmittedByKind.isEmpty()) {
            return;
        }
        List<String> kinds =
                mOmittedByKind.entrySet().stream()
                        .map(e -> e.getKey() + "=" + e.getValue())
                        .toList();
        mOmittedByKind.clear();
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
