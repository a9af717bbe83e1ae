package org.fuchsiaford.entry.gateway.forward;

import org.fuchsiaford.entry.gateway.fleet.CoordinatorCalls;
import org.fuchsiaford.fleet.HostRecord;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.selection.EngineEvent;
import org.fuchsiaford.selection.EngineReservation;
import org.fuchsiaford.selection.HeldEngines;
import org.fuchsiaford.selection.StreamPace;

/**
 * Engines that a coordinator has granted. Their load is counted here as well, so that other
 * coordinators learn of it. Thread-safe.
 */
final class RemoteEngineHold implements EngineHold {
    private final CoordinatorCalls mCalls;
    private final HostRecord mCoordinator;
    private final HeldEngines mHeld;
    private final RequestId mRequest;
    private final EngineReservation mReservation;

    RemoteEngineHold(
            CoordinatorCalls calls,
            HostRecord coordinator,
            HeldEngines held,
            RequestId request,
            EngineReservation reservation) {
        mCalls = calls;
        mCoordinator = coordinator;
        mHeld = held;
        mRequest = request;
        mReservation = reservation;
        mHeld.add(coordinator.id(), request);
    }

    private void report(EngineEvent.Kind kind, long durationNanos) {
        mCalls.report(mCoordinator, EngineEvent.of(kind, mRequest, durationNanos));
    }

    @Override
    public void recordPrefill(long durationNanos) {
        mReservation.endPrefill();
        report(EngineEvent.Kind.PREFILLED, durationNanos);
    }

    @Override
    public void recordPrefillNotNeeded() {
        mReservation.endPrefill();
        mReservation.endPrefillBacklog();
        report(EngineEvent.Kind.PREFILL_NOT_NEEDED, 0);
    }

    @Override
    public void recordPrefillFailure() {
        mReservation.leavePromptToDecode();
        report(EngineEvent.Kind.PREFILL_FAILED, 0);
    }

    @Override
    public void recordFirstEvent(long sinceGrantNanos) {
        mReservation.endPrefillBacklog();
        report(EngineEvent.Kind.FIRST_EVENT, sinceGrantNanos);
    }

    @Override
    public void complete(long sinceGrantNanos, StreamPace pace) {
        release(EngineEvent.completed(mRequest, sinceGrantNanos, pace));
    }

    @Override
    public void breakOff() {
        release(EngineEvent.of(EngineEvent.Kind.BROKEN_OFF, mRequest, 0));
    }

    @Override
    public void release() {
        release(EngineEvent.of(EngineEvent.Kind.RELEASED, mRequest, 0));
    }

    private void release(EngineEvent event) {
        if (mHeld.remove(mCoordinator.id(), mRequest)) {
            mReservation.release();
            mCalls.report(mCoordinator, event);
        }
    }
}
