package org.fuchsiaford.entry.gateway.forward;

import java.util.List;
import org.fuchsiaford.entry.gateway.fleet.EngineDispatcher;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.selection.EngineEvent;
import org.fuchsiaford.selection.StreamPace;

/** Engines that the scheduler of this host has granted. Thread-safe. */
final class LocalEngineHold implements EngineHold {
    private final EngineDispatcher mDispatcher;
    private final RequestId mRequest;

    LocalEngineHold(EngineDispatcher dispatcher, RequestId request) {
        mDispatcher = dispatcher;
        mRequest = request;
    }

    private void apply(EngineEvent.Kind kind, long durationNanos) {
        mDispatcher.apply(List.of(EngineEvent.of(kind, mRequest, durationNanos)));
    }

    @Override
    public void recordPrefill(long durationNanos) {
        apply(EngineEvent.Kind.PREFILLED, durationNanos);
    }

    @Override
    public void recordPrefillNotNeeded() {
        apply(EngineEvent.Kind.PREFILL_NOT_NEEDED, 0);
    }

    @Override
    public void recordPrefillFailure() {
        apply(EngineEvent.Kind.PREFILL_FAILED, 0);
    }

    @Override
    public void recordFirstEvent(long sinceGrantNanos) {
        apply(EngineEvent.Kind.FIRST_EVENT, sinceGrantNanos);
    }

    @Override
    public void complete(long sinceGrantNanos, StreamPace pace) {
        mDispatcher.apply(List.of(EngineEvent.completed(mRequest, sinceGrantNanos, pace)));
    }

    @Override
    public void breakOff() {
        apply(EngineEvent.Kind.BROKEN_OFF, 0);
    }

    @Override
    public void release() {
        apply(EngineEvent.Kind.RELEASED, 0);
    }
}
