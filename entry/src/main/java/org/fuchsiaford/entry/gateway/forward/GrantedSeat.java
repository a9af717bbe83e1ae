package org.fuchsiaford.entry.gateway.forward;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.selection.EngineEvent;

/** A seat that a book of seats has granted; its end is reported to the book. */
final class GrantedSeat implements Seat {
    private final LiveServer mServer;
    private final BiConsumer<EngineEvent.Kind, Long> mReport;
    private final AtomicBoolean mEnded = new AtomicBoolean();

    /**
     * Creates a seat.
     *
     * @param report reports how the seat ended, and the duration of an answer in nanoseconds
     */
    GrantedSeat(LiveServer server, BiConsumer<EngineEvent.Kind, Long> report) {
        mServer = server;
        mReport = report;
    }

    @Override
    public LiveServer server() {
        return mServer;
    }

    @Override
    public void begin() {
        // The seat counts as load since it was granted.
    }

    @Override
    public void complete(long durationNanos) {
        end(EngineEvent.Kind.COMPLETED, durationNanos);
    }

    @Override
    public void reject() {
        end(EngineEvent.Kind.REJECTED, 0);
    }

    @Override
    public void release() {
        end(EngineEvent.Kind.RELEASED, 0);
    }

    private void end(EngineEvent.Kind kind, long durationNanos) {
        if (mEnded.compareAndSet(false, true)) {
            mReport.accept(kind, durationNanos);
        }
    }
}
