package org.fuchsiaford.selection;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.prompt.PromptPartId;
import org.fuchsiaford.prompt.PromptQuarantine;
import org.fuchsiaford.request.RequestId;

/**
 * The grants whose requests hold engines, with their reservations.
 *
 * <p>Invariant: a reservation is released exactly once, when its grant is removed. Not thread-safe;
 * guarded by the scheduler that grants.
 */
final class HeldGrants {
    /**
     * Time in which the host of a granted request must have reported that it holds the grant;
     * longer than two heartbeat intervals.
     */
    private static final long REPORT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_250);

    private final EnginePlanner mPlanner;
    private final EngineWaits mWaits;
    private final EngineDemand mDemand;
    private final PromptQuarantine mQuarantine;
    private final Map<RequestId, HeldGrant> mGrants = new HashMap<>();

    HeldGrants(
            EnginePlanner planner,
            EngineWaits waits,
            EngineDemand demand,
            PromptQuarantine quarantine) {
        mPlanner = planner;
        mWaits = waits;
        mDemand = demand;
        mQuarantine = quarantine;
    }

    /** Adds a grant. */
    void add(HeldGrant held) {
        mGrants.put(held.request().request(), held);
    }

    /** Returns the grant of a request, if it is held. */
    Optional<HeldGrant> find(RequestId request) {
        return Optional.ofNullable(mGrants.get(request));
    }

    /**
     * Records that the prompt of a request has been read by its prefill engine.
     *
     * @param durationNanos the duration of the call
     */
    void recordPrefill(RequestId request, long durationNanos) {
        HeldGrant held = mGrants.get(request);
        if (held == null) {
            return;
        }
        held.reservation().endPrefill();
        if (held.prefillWasIdle()) {
            mPlanner.observePrefill(
                    held.request().service(),
                    held.request().tokens().promptTokens(),
                    durationNanos);
        }
    }

    /** Records that the prefill engine is not needed, since the prompt has been read before. */
    void recordPrefillNotNeeded(RequestId request) {
        reservation(request)
                .ifPresent(
                        reservation -> {
                            reservation.endPrefill();
                            reservation.endPrefillBacklog();
                        });
    }

    /** Records that the decode engine has to prefill the prompt of a request itself. */
    void recordPrefillFailure(RequestId request) {
        reservation(request).ifPresent(EngineReservation::leavePromptToDecode);
        mPlanner.pauses().leavePromptToDecode(request);
    }

    /**
     * Records that the first event of a request has arrived.
     *
     * @param durationNanos the time since the capacity was granted
     */
    void recordFirstEvent(RequestId request, long durationNanos, long nowNanos) {
        HeldGrant held = mGrants.get(request);
        if (held != null) {
            held.reservation().endPrefillBacklog();
            held.recordFirstEvent(nowNanos);
            mPlanner.pauses().begin(request, nowNanos);
            if (held.grant().plan().prefill().isEmpty()) {
                mDemand.recordDecodeRead(
                        held.request().service(), held.request().tokens().promptTokens(), nowNanos);
            }
            mWaits.queue(held.request())
                    .observeTimeToFirstEvent(held.request().tokens().promptTokens(), durationNanos);
        }
    }

    /** Records how the events of a complete stream followed each other, before its release. */
    void recordPace(RequestId request, StreamPace pace, long nowNanos) {
        HeldGrant held = mGrants.get(request);
        if (held != null) {
            mPlanner.observePace(held.request(), pace, nowNanos);
        }
    }

    /**
     * Releases the capacity of a request whose stream was complete.
     *
     * @param durationNanos the time since the capacity was granted
     */
    void complete(RequestId request, long durationNanos, long nowNanos) {
        HeldGrant held = mGrants.get(request);
        if (held != null) {
            EngineRequest granted = held.request();
            mWaits.queue(granted).observeRunDuration(granted.tokens(), durationNanos);
            mDemand.recordRun(granted.service(), nowNanos - held.beganNanos(), nowNanos);
            mQuarantine.recordSurvival(held.prompt(), held.beganNanos(), nowNanos);
        }
        release(request);
    }

    /** Releases the capacity of a request whose stream its decode engine has broken off. */
    void breakOff(RequestId request, long nowNanos) {
        HeldGrant held = mGrants.get(request);
        if (held != null) {
            recordSurvivors(held.prompt(), nowNanos);
            if (!held.hasSurvived(nowNanos)) {
                mQuarantine.recordBrokenStream(held.decodeEngine(), held.prompt(), nowNanos);
            }
        }
        release(request);
    }

    /** Records the running requests that share parts with a prompt and have survived. */
    private void recordSurvivors(List<PromptPartId> prompt, long nowNanos) {
        mGrants.values().stream()
                .filter(held -> held.hasSurvived(nowNanos))
                .filter(held -> !Collections.disjoint(held.prompt(), prompt))
                .forEach(
                        held ->
                                mQuarantine.recordSurvival(
                                        held.prompt(), held.beganNanos(), nowNanos));
    }

    /** Releases the capacity of a request. Later calls have no effect. */
    void release(RequestId request) {
        HeldGrant held = mGrants.remove(request);
        if (held != null) {
            held.reservation().release();
            mPlanner.pauses().remove(request);
        }
    }

    private Optional<EngineReservation> reservation(RequestId request) {
        return find(request).map(HeldGrant::reservation);
    }

    /**
     * Releases grants to another host that it does not hold, because the answer or the release was
     * lost. Grants that the host cannot have reported yet are kept.
     */
    void reconcile(HostId host, List<RequestId> held, long nowNanos) {
        Set<RequestId> reported = new HashSet<>(held);
        mGrants.values().stream()
                .map(HeldGrant::grant)
                .filter(grant -> grant.request().host().equals(host))
                .filter(grant -> nowNanos - grant.grantedNanos() > REPORT_TIMEOUT_NANOS)
                .map(grant -> grant.request().request())
                .filter(request -> !reported.contains(request))
                .toList()
                .forEach(this::release);
    }

    /** Releases all grants to a host that no longer reports. */
    void releaseAll(HostId host) {
        mGrants.values().stream()
                .map(HeldGrant::request)
                .filter(request -> request.host().equals(host))
                .map(EngineRequest::request)
                .toList()
                .forEach(this::release);
    }
}
