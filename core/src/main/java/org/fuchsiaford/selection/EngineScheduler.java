package org.fuchsiaford.selection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.ToLongFunction;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.bundle.RegionId;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.prompt.PromptQuarantine;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.SoftwareVersion;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.EngineCapacity;
import org.fuchsiaford.serverlimit.ServerRateLimiter;
import org.fuchsiaford.stream.ServedVersions;

/**
 * Grants places on engines to the model requests of all hosts that ask this one, in the order of
 * {@link EngineQueue}, and refuses at once those that cannot be served in time.
 *
 * <p>Load pattern: bursts in which many hosts at once have requests for the last free KV cache. A
 * single scheduler sees every grant the moment it is made, where hosts that plan by themselves from
 * reports choose the same engine and have their requests rejected there.
 *
 * <p>Invariant: the capacity for a request is reserved in the same step as its engines are granted.
 * A queued request leaves the queue in exactly one way: it is granted engines, refused or
 * cancelled, or its host stops asking. Thread-safe.
 */
public final class EngineScheduler {
    /** Time without a poll after which the host of a queued request has given it up. */
    private static final long POLL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final HostId mSelf;
    private final EnginePool mPool;
    private final LoadTracker mLoads;
    private final EnginePlanner mPlanner;
    private final EngineQueues mQueues;
    private final PromptQuarantine mQuarantine;
    private final AvailableEngines mEngines;
    private final EngineWaits mWaits;
    private final EngineDemand mDemand = new EngineDemand();
    private final Map<RequestId, Queued> mQueued = new HashMap<>();
    private final HeldGrants mHeld;

    private static final class Queued {
        private final EngineRequest mRequest;
        private long mPolledNanos;

        Queued(EngineRequest request, long nowNanos) {
            mRequest = request;
            mPolledNanos = nowNanos;
        }
    }

    /**
     * Creates a scheduler.
     *
     * @param self this host
     * @param othersOnTimeTokens the tokens queued at other schedulers that can still meet their
     *     target, by service
     * @param quarantine the prompts that must not be placed
     * @param versions the software versions that may be sent streams
     * @param limiter permits requests to engines that are limited
     * @param random a source of uniformly distributed random numbers from 0 to 1
     */
    public EngineScheduler(
            HostId self,
            EnginePool pool,
            LoadTracker loads,
            EnginePlanner planner,
            EngineQueues queues,
            ToLongFunction<ServiceId> othersOnTimeTokens,
            PromptQuarantine quarantine,
            ServedVersions versions,
            ServerRateLimiter limiter,
            DoubleSupplier random) {
        mSelf = self;
        mPool = pool;
        mLoads = loads;
        mPlanner = planner;
        mQueues = queues;
        mQuarantine = quarantine;
        mEngines = new AvailableEngines(pool, versions, limiter);
        mWaits = new EngineWaits(queues, mEngines, othersOnTimeTokens, random);
        mHeld = new HeldGrants(planner, mWaits, mDemand, quarantine);
    }

    /**
     * Handles a new request, or one that another host sends again because an answer was lost or a
     * scheduler that it asked in between did not respond.
     */
    public synchronized EngineAnswer submit(EngineRequest request, long nowNanos) {
        Optional<EngineAnswer> earlier =
                request.host().equals(mSelf)
                        ? Optional.empty()
                        : poll(request.host(), request.request(), nowNanos);
        if (earlier.isPresent()) {
            return earlier.get();
        }
        if (mQueued.containsKey(request.request()) || mHeld.find(request.request()).isPresent()) {
            return new EngineAnswer.Refused(
                    request,
                    EngineWaits.MIN_RETRY_MILLIS,
                    "a request with this id is already placed");
        }
        if (request.tokens().promptTokens() > mPool.capacity(request.service()).kvCacheTokens()) {
            long leftMillis = TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - nowNanos);
            return new EngineAnswer.Refused(request, leftMillis, "no engine can hold the prompt");
        }
        if (mPlanner.isTooLong(request, nowNanos)) {
            long leftMillis = TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - nowNanos);
            return new EngineAnswer.Refused(
                    request, leftMillis, "no engine can read the prompt in time");
        }
        mDemand.recordArrival(
                request,
                mPlanner.mustReadApart(request, mPool.capacity(request.service())),
                nowNanos);
        long quarantineNanos = mQuarantine.admit(request.promptParts(), nowNanos);
        if (quarantineNanos > 0) {
            return EngineRefusals.quarantined(request, quarantineNanos);
        }
        mWaits.queue(request).recordAsked(mWaits.claim(request), nowNanos);
        Optional<EngineAnswer.Granted> grant =
                isNext(request)
                        ? tryGrant(request, eligible(request, nowNanos), nowNanos)
                        : Optional.empty();
        return grant.isPresent() ? grant.get() : enqueue(request, nowNanos);
    }

    /** Returns whether no queued request competes with a new one, since all need other regions. */
    private boolean isNext(EngineRequest request) {
        List<RegionId> regions = request.attributes().allowedRegions();
        return mWaits.queue(request).isEmpty()
                || mQueued.values().stream()
                        .map(queued -> queued.mRequest)
                        .filter(queued -> queued.service().equals(request.service()))
                        .filter(queued -> queued.version().equals(request.version()))
                        .map(queued -> queued.attributes().allowedRegions())
                        .noneMatch(awaited -> awaited.isEmpty() || awaited.equals(regions));
    }

    /**
     * Returns the state of an earlier request of a host, which proves that the host still waits for
     * it; empty if the request is not known.
     */
    public synchronized Optional<EngineAnswer> poll(HostId host, RequestId request, long nowNanos) {
        Optional<EngineAnswer.Granted> granted =
                mHeld.find(request)
                        .map(HeldGrant::grant)
                        .filter(grant -> grant.request().host().equals(host));
        if (granted.isPresent()) {
            return Optional.of(granted.get());
        }
        Queued queued = mQueued.get(request);
        if (queued == null || !queued.mRequest.host().equals(host)) {
            return Optional.empty();
        }
        queued.mPolledNanos = nowNanos;
        return Optional.of(
                waiting(
                        queued.mRequest,
                        mWaits.estimateWaitNanos(queued.mRequest, nowNanos),
                        nowNanos));
    }

    /** Removes a request from the queue. Returns whether it was queued. */
    public synchronized boolean cancel(RequestId request) {
        Queued queued = mQueued.remove(request);
        return queued != null && mWaits.queue(queued.mRequest).remove(request);
    }

    /**
     * Grants free capacity to queued requests and refuses those that can no longer be served in
     * time. Returns the requests that are no longer queued, with their answers.
     */
    public synchronized List<EngineAnswer> dispatch(long nowNanos) {
        List<EngineAnswer> answers = new ArrayList<>();
        removeAbandoned(nowNanos);
        refuseQuarantined(answers, nowNanos);
        mQueued.values().stream()
                .map(queued -> queued.mRequest.service())
                .distinct()
                .toList()
                .forEach(service -> dispatch(service, answers, nowNanos));
        return answers;
    }

    private void removeAbandoned(long nowNanos) {
        mQueued.values().stream()
                .filter(queued -> !queued.mRequest.host().equals(mSelf))
                .filter(queued -> nowNanos - queued.mPolledNanos > POLL_TIMEOUT_NANOS)
                .map(queued -> queued.mRequest.request())
                .toList()
                .forEach(this::cancel);
    }

    /** Refuses queued requests whose prompts have been found to crash engines meanwhile. */
    private void refuseQuarantined(List<EngineAnswer> answers, long nowNanos) {
        mQueued.values().stream()
                .map(queued -> queued.mRequest)
                .toList()
                .forEach(
                        request -> {
                            long nanos =
                                    mQuarantine.remainingNanos(request.promptParts(), nowNanos);
                            if (nanos > 0) {
                                cancel(request.request());
                                answers.add(EngineRefusals.quarantined(request, nanos));
                            }
                        });
    }

    /** Room for streams that can go on only at some engines goes before that for others. */
    private void dispatch(ServiceId service, List<EngineAnswer> answers, long nowNanos) {
        mQueues.awaitedVersions(service)
                .forEach(version -> dispatch(service, Optional.of(version), answers, nowNanos));
        dispatch(service, Optional.empty(), answers, nowNanos);
    }

    private void dispatch(
            ServiceId service,
            Optional<SoftwareVersion> version,
            List<EngineAnswer> answers,
            long nowNanos) {
        EngineQueue queue = mQueues.of(service, version);
        long othersTokens = version.isPresent() ? 0 : mWaits.othersOnTimeTokens(service);
        queue.unservable(othersTokens, mEngines.kvCacheTokens(service, version, nowNanos), nowNanos)
                .forEach(queued -> answers.add(refuseQueued(queue, queued, nowNanos)));
        grant(queue, othersTokens > 0, answers, nowNanos);
    }

    /**
     * A request without room in its regions does not hold up those for other regions, but those for
     * the same ones wait behind it.
     */
    private void grant(
            EngineQueue queue, boolean othersOnTime, List<EngineAnswer> answers, long nowNanos) {
        EngineRoom room = new EngineRoom(mLoads);
        Set<List<RegionId>> fullRegions = new HashSet<>();
        Optional<EngineQueue.QueuedRequest> next =
                queue.next(room.blocked(), othersOnTime, nowNanos);
        while (next.isPresent()) {
            EngineRequest request = mQueued.get(next.get().request()).mRequest;
            List<RegionId> regions = request.attributes().allowedRegions();
            List<LiveServer> engines = eligible(request, nowNanos);
            if (fullRegions.contains(regions)) {
                room.passOver(request);
            } else if (!queue.isFair()
                    || !room.keepFor(request, engines, mPool.capacity(request.service()))) {
                Optional<EngineAnswer.Granted> grant =
                        tryGrant(request, room.free(engines), nowNanos);
                if (grant.isPresent()) {
                    mQueued.remove(request.request());
                    queue.serve(request.request());
                    answers.add(grant.get());
                } else if (regions.isEmpty()) {
                    return;
                } else {
                    fullRegions.add(regions);
                    room.passOver(request);
                }
            }
            next = queue.next(room.blocked(), othersOnTime, nowNanos);
        }
    }

    private EngineAnswer refuseQueued(
            EngineQueue queue, EngineQueue.QueuedRequest queued, long nowNanos) {
        EngineRequest request = mQueued.remove(queued.request()).mRequest;
        queue.remove(queued.request());
        // It has waited already: what is ahead of it in the queue must not delay its return as
        // well.
        return new EngineAnswer.Refused(
                request,
                mWaits.busyRetryMillis(request, 0, nowNanos),
                "no engine had free capacity in time");
    }

    /** Returns what was measured of the load. */
    public EngineDemand demand() {
        return mDemand;
    }

    /** Returns the measured speed of a prefill engine, in prompt tokens per millisecond. */
    public double prefillTokensPerMilli(ServiceId service) {
        return mPlanner.tokensPerMilli(service);
    }

    /** Returns whether no request is queued. */
    public synchronized boolean isIdle() {
        return mQueued.isEmpty();
    }

    /**
     * Records that the prompt of a request has been read by its prefill engine.
     *
     * @param durationNanos the duration of the call
     */
    public synchronized void recordPrefill(RequestId request, long durationNanos) {
        mHeld.recordPrefill(request, durationNanos);
    }

    /** Records that the prefill engine is not needed, since the prompt has been read before. */
    public synchronized void recordPrefillNotNeeded(RequestId request) {
        mHeld.recordPrefillNotNeeded(request);
    }

    /** Records that the decode engine has to prefill the prompt of a request itself. */
    public synchronized void recordPrefillFailure(RequestId request) {
        mHeld.recordPrefillFailure(request);
    }

    /**
     * Records that the first event of a request has arrived.
     *
     * @param durationNanos the time since the capacity was granted
     */
    public synchronized void recordFirstEvent(
            RequestId request, long durationNanos, long nowNanos) {
        mHeld.recordFirstEvent(request, durationNanos, nowNanos);
    }

    /** Records how the events of a complete stream followed each other, before its release. */
    public synchronized void recordPace(RequestId request, StreamPace pace, long nowNanos) {
        mHeld.recordPace(request, pace, nowNanos);
    }

    /**
     * Releases the capacity of a request whose stream was complete.
     *
     * @param durationNanos the time since the capacity was granted
     */
    public synchronized void complete(RequestId request, long durationNanos, long nowNanos) {
        mHeld.complete(request, durationNanos, nowNanos);
    }

    /** Releases the capacity of a request whose stream its decode engine has broken off. */
    public synchronized void breakOff(RequestId request, long nowNanos) {
        mHeld.breakOff(request, nowNanos);
    }

    /** Releases the capacity of a request. Later calls have no effect. */
    public synchronized void release(RequestId request) {
        mHeld.release(request);
    }

    /**
     * Releases grants to another host that it does not hold, because the answer or the release was
     * lost. Grants that the host cannot have reported yet are kept.
     */
    public synchronized void reconcile(HostId host, List<RequestId> held, long nowNanos) {
        mHeld.reconcile(host, held, nowNanos);
    }

    /** Releases all grants to a host that no longer reports, and removes its queued requests. */
    public synchronized void removeHost(HostId host) {
        mHeld.releaseAll(host);
        mQueued.values().stream()
                .map(queued -> queued.mRequest)
                .filter(request -> request.host().equals(host))
                .map(EngineRequest::request)
                .toList()
                .forEach(this::cancel);
    }

    private EngineAnswer enqueue(EngineRequest request, long nowNanos) {
        if (!mEngines.canServe(request, nowNanos)) {
            return EngineRefusals.noEngine(request);
        }
        EngineQueue queue = mWaits.queue(request);
        long waitNanos = mWaits.estimateWaitNanos(request, nowNanos);
        if (!queue.shouldQueue(waitNanos, mWaits.firstEventDeadlineNanos(request), nowNanos)) {
            return new EngineAnswer.Refused(
                    request,
                    mWaits.busyRetryMillis(request, waitNanos, nowNanos),
                    "no engine will have free capacity in time");
        }
        queue.add(mWaits.queuedRequest(request));
        mQueued.put(request.request(), new Queued(request, nowNanos));
        return waiting(request, waitNanos, nowNanos);
    }

    private EngineAnswer.Waiting waiting(EngineRequest request, long waitNanos, long nowNanos) {
        return new EngineAnswer.Waiting(
                mWaits.queue(request).onTimeTokens(nowNanos),
                mWaits.queue(request).rank(mWaits.claim(request)),
                TimeUnit.NANOSECONDS.toMillis(waitNanos));
    }

    private Optional<EngineAnswer.Granted> tryGrant(
            EngineRequest request, List<LiveServer> engines, long nowNanos) {
        EngineCapacity capacity = mPool.capacity(request.service());
        List<LiveServer> warm = mEngines.warm(engines, nowNanos);
        return mPlanner.plan(warm, request, capacity, nowNanos)
                .or(
                        () ->
                                warm.size() < engines.size()
                                        ? mPlanner.plan(engines, request, capacity, nowNanos)
                                        : Optional.empty())
                .map(plan -> grant(request, plan, nowNanos));
    }

    /** Leaves the engines out whose room queued requests need that can go on nowhere else. */
    private List<LiveServer> eligible(EngineRequest request, long nowNanos) {
        List<LiveServer> engines =
                mEngines.admitted(mEngines.availableNow(request.service(), nowNanos), request);
        if (request.version().isPresent()) {
            return engines;
        }
        Set<SoftwareVersion> awaited = mQueues.awaitedVersions(request.service());
        return awaited.isEmpty()
                ? engines
                : engines.stream().filter(e -> !awaited.contains(e.version())).toList();
    }

    private EngineAnswer.Granted grant(EngineRequest request, EnginePlan plan, long nowNanos) {
        boolean prefillWasIdle =
                plan.prefill()
                        .map(engine -> mLoads.total(engine.id()).requests() <= 0)
                        .orElse(false);
        mPlanner.recordGrant(request, plan, mPool.capacity(request.service()), nowNanos);
        LoadSink loads = request.host().equals(mSelf) ? mLoads : mLoads.grantedToOthers();
        EngineReservation reservation = new EngineReservation(loads, plan, request.tokens());
        EngineAnswer.Granted grant = new EngineAnswer.Granted(request, plan, nowNanos);
        mEngines.acquire(plan, nowNanos);
        mQuarantine.recordPlaced(nowNanos);
        mWaits.queue(request).recordServed(mWaits.claim(request), nowNanos);
        mHeld.add(new HeldGrant(grant, reservation, prefillWasIdle));
        return grant;
    }
}
