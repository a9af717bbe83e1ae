package org.fuchsiaford.selection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.fairness.Claim;
import org.fuchsiaford.fleet.ServerLoad;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.TokenCounts;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * The seats of plain servers that this host, as a coordinator, grants to the requests of all hosts,
 * in the order of {@link EngineQueue}.
 *
 * <p>Load pattern: few seats that are asked for twice over by many hosts. Hosts that choose by
 * themselves from loads that lag fill the servers' own queues, where every answer is late.
 *
 * <p>Invariant: a seat is taken in the step in which it is granted, and is free again exactly once:
 * when it is released, or when its host no longer reports it or is gone. A request that cannot be
 * answered before its deadline is refused at once. Thread-safe.
 */
public final class SeatBook {
    /** Time without a poll after which the host of a waiting request has given it up. */
    private static final long POLL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time in which a host must have reported a seat; longer than two heartbeat intervals. */
    private static final long REPORT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_250);

    /** Duration of a request until one is observed. */
    private static final long INITIAL_RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** What a request counts in its accounts; the unit in which shares are kept is far smaller. */
    private static final long SEAT_TOKENS = 1_000;

    private static final TokenCounts ONE_SEAT = new TokenCounts(1, 0, 0);
    private static final long MIN_RETRY_MILLIS = 50;

    /** Least range over which retries are spread; otherwise it is the wait. */
    private static final long MIN_RETRY_SPREAD_MILLIS = 300;

    private final HostId mSelf;
    private final EnginePool mPool;
    private final LoadTracker mLoads;
    private final ServerHealth mHealth;
    private final DoubleSupplier mRandom;
    private final SeatCount mSeats = new SeatCount();
    private final Map<ServiceId, EngineQueue> mQueues = new HashMap<>();
    private final Map<RequestId, Waiting> mWaiting = new HashMap<>();
    private final Map<RequestId, Held> mHeld = new HashMap<>();

    private static final class Waiting {
        private final SeatRequest mRequest;
        private long mPolledNanos;

        Waiting(SeatRequest request, long nowNanos) {
            mRequest = request;
            mPolledNanos = nowNanos;
        }
    }

    private record Held(SeatAnswer.Granted grant, LoadSink loads, long grantedNanos) {
        ServerLoad load() {
            return new ServerLoad(grant.server().id(), 1, 0, 0);
        }
    }

    /**
     * Creates a book without entries.
     *
     * @param self this host
     * @param random a source of uniformly distributed random numbers from 0 to 1
     */
    public SeatBook(
            HostId self,
            EnginePool pool,
            LoadTracker loads,
            ServerHealth health,
            DoubleSupplier random) {
        mSelf = self;
        mPool = pool;
        mLoads = loads;
        mHealth = health;
        mRandom = random;
    }

    /** Handles a new request, or one that is sent again because an answer was lost. */
    public synchronized SeatAnswer submit(SeatRequest request, long nowNanos) {
        Optional<SeatAnswer> earlier = poll(request.host(), request.request(), nowNanos);
        if (earlier.isPresent()) {
            return earlier.get();
        }
        EngineQueue queue = queue(request.service());
        queue.recordAsked(claim(request), nowNanos);
        Optional<SeatAnswer.Granted> grant =
                queue.isEmpty() ? tryGrant(request, nowNanos) : Optional.empty();
        return grant.isPresent() ? grant.get() : enqueue(request, queue, nowNanos);
    }

    private SeatAnswer enqueue(SeatRequest request, EngineQueue queue, long nowNanos) {
        EngineQueue.QueuedRequest queued = queuedRequest(request, nowNanos);
        long waitNanos = waitNanos(request, nowNanos);
        if (!queue.shouldQueue(waitNanos, request.deadlineNanos(), nowNanos)) {
            return refuse(request, waitNanos, "no seat will be free in time");
        }
        queue.add(queued);
        mWaiting.put(request.request(), new Waiting(request, nowNanos));
        return new SeatAnswer.Waiting(request, TimeUnit.NANOSECONDS.toMillis(waitNanos));
    }

    private EngineQueue queue(ServiceId service) {
        return mQueues.computeIfAbsent(
                service, id -> new EngineQueue(true, INITIAL_RUN_NANOS, INITIAL_RUN_NANOS));
    }

    private Claim claim(SeatRequest request) {
        Optional<WorkspaceId> workspace = Optional.ofNullable(request.workspace());
        return new Claim(
                request.kind(),
                workspace,
                workspace.map(mPool::weight).orElse(1.0),
                request.domain(),
                SEAT_TOKENS);
    }

    private EngineQueue.QueuedRequest queuedRequest(SeatRequest request, long nowNanos) {
        return new EngineQueue.QueuedRequest(
                request.request(),
                ONE_SEAT,
                claim(request),
                nowNanos,
                request.targetNanos() - queue(request.service()).firstEventNanos(),
                request.deadlineNanos());
    }

    private long waitNanos(SeatRequest request, long nowNanos) {
        EngineQueue queue = queue(request.service());
        long ahead = queue.tokensAhead(queuedRequest(request, nowNanos), nowNanos);
        return queue.estimateWaitNanos(ahead + 1, seats(request.service(), nowNanos));
    }

    /** The seats that run requests; what servers queue themselves adds nothing to their rate. */
    private long seats(ServiceId service, long nowNanos) {
        return mPool.usable(service, nowNanos).stream()
                .mapToLong(LiveServer::maxConcurrentRequests)
                .sum();
    }

    private SeatAnswer.Refused refuse(SeatRequest request, long waitNanos, String reason) {
        long waitMillis = TimeUnit.NANOSECONDS.toMillis(waitNanos);
        double spreadMillis = mRandom.getAsDouble() * Math.max(waitMillis, MIN_RETRY_SPREAD_MILLIS);
        long retryMillis = Math.max(MIN_RETRY_MILLIS, waitMillis) + (long) spreadMillis;
        return new SeatAnswer.Refused(request, retryMillis, reason);
    }

    /** A paused server is used only if all that are eligible are paused. */
    private Optional<SeatAnswer.Granted> tryGrant(SeatRequest request, long nowNanos) {
        List<LiveServer> eligible =
                mPool.usable(request.service(), nowNanos).stream()
                        .filter(server -> !request.excluded().contains(server.id()))
                        .toList();
        List<LiveServer> unpaused =
                eligible.stream()
                        .filter(server -> !mHealth.isPaused(server.id(), nowNanos))
                        .toList();
        return (unpaused.isEmpty() ? eligible : unpaused)
                .stream()
                        .filter(server -> usedFraction(server) < 1)
                        .min(Comparator.comparingDouble(server -> score(server, nowNanos)))
                        .map(server -> grant(request, server, nowNanos));
    }

    private double usedFraction(LiveServer server) {
        return (double) mLoads.total(server.id()).requests() / Math.max(1, mSeats.of(server));
    }

    private double score(LiveServer server, long nowNanos) {
        return usedFraction(server) + mHealth.failureRate(server.id(), nowNanos);
    }

    private SeatAnswer.Granted grant(SeatRequest request, LiveServer server, long nowNanos) {
        SeatAnswer.Granted grant = new SeatAnswer.Granted(request, server);
        LoadSink loads = request.host().equals(mSelf) ? mLoads : mLoads.grantedToOthers();
        Held held = new Held(grant, loads, nowNanos);
        held.loads().add(held.load());
        mHeld.put(request.request(), held);
        queue(request.service()).recordServed(claim(request), nowNanos);
        return grant;
    }

    /** Returns the state of an earlier request of a host, which proves that it still waits. */
    public synchronized Optional<SeatAnswer> poll(HostId host, RequestId request, long nowNanos) {
        Held held = mHeld.get(request);
        if (held != null && held.grant().request().host().equals(host)) {
            return Optional.of(held.grant());
        }
        Waiting waiting = mWaiting.get(request);
        if (waiting == null || !waiting.mRequest.host().equals(host)) {
            return Optional.empty();
        }
        waiting.mPolledNanos = nowNanos;
        long waitMillis = TimeUnit.NANOSECONDS.toMillis(waitNanos(waiting.mRequest, nowNanos));
        return Optional.of(new SeatAnswer.Waiting(waiting.mRequest, waitMillis));
    }

    /**
     * Grants free seats to waiting requests and refuses those that can no longer be answered in
     * time. Returns the requests that no longer wait, with their answers.
     */
    public synchronized List<SeatAnswer> dispatch(long nowNanos) {
        mWaiting.values().stream()
                .filter(waiting -> nowNanos - waiting.mPolledNanos > POLL_TIMEOUT_NANOS)
                .map(waiting -> waiting.mRequest.request())
                .toList()
                .forEach(this::cancel);
        List<SeatAnswer> answers = new ArrayList<>();
        mQueues.forEach((service, queue) -> dispatch(service, queue, answers, nowNanos));
        return answers;
    }

    private void dispatch(
            ServiceId service, EngineQueue queue, List<SeatAnswer> answers, long nowNanos) {
        for (EngineQueue.QueuedRequest queued :
                queue.unservable(0, seats(service, nowNanos), nowNanos)) {
            SeatRequest request = mWaiting.remove(queued.request()).mRequest;
            long waitNanos = waitNanos(request, nowNanos);
            queue.remove(queued.request());
            answers.add(refuse(request, waitNanos, "no seat was free in time"));
        }
        Optional<EngineQueue.QueuedRequest> next = queue.next(false, nowNanos);
        Set<RequestId> blocked = new HashSet<>();
        while (next.isPresent()) {
            RequestId id = next.get().request();
            Optional<SeatAnswer.Granted> grant = tryGrant(mWaiting.get(id).mRequest, nowNanos);
            if (grant.isPresent()) {
                mWaiting.remove(id);
                queue.serve(id);
                answers.add(grant.get());
            } else if (mWaiting.get(id).mRequest.excluded().isEmpty()) {
                return;
            } else {
                blocked.add(id);
            }
            next = queue.next(blocked, false, nowNanos);
        }
    }

    /** Removes a waiting request, or frees the seat that it was granted meanwhile. */
    public synchronized void cancel(RequestId request) {
        Waiting waiting = mWaiting.remove(request);
        if (waiting != null) {
            queue(waiting.mRequest.service()).remove(request);
        }
        release(request);
    }

    /**
     * Frees the seat of a request that was answered.
     *
     * @param durationNanos the time that its server took
     */
    public synchronized void complete(RequestId request, long durationNanos) {
        Held held = mHeld.get(request);
        if (held != null) {
            EngineQueue queue = queue(held.grant().request().service());
            queue.observeRunDuration(ONE_SEAT, durationNanos);
            queue.observeTimeToFirstEvent(1, durationNanos);
            mSeats.recordAnswer(held.grant().server());
            release(request);
        }
    }

    /** Frees the seat of a request that its server rejected because it was full. */
    public synchronized void reject(RequestId request) {
        Held held = mHeld.get(request);
        if (held != null) {
            mSeats.recordRejection(held.grant().server());
            release(request);
        }
    }

    /** Frees the seat of a request. Later calls have no effect. */
    public synchronized void release(RequestId request) {
        Held held = mHeld.remove(request);
        if (held != null) {
            held.loads().remove(held.load());
        }
    }

    /** Frees the seats of a host that it does not hold, except those it cannot have reported. */
    public synchronized void reconcile(HostId host, List<RequestId> reported, long nowNanos) {
        Set<RequestId> held = new HashSet<>(reported);
        heldBy(host).stream()
                .filter(id -> !held.contains(id))
                .filter(id -> nowNanos - mHeld.get(id).grantedNanos() > REPORT_TIMEOUT_NANOS)
                .forEach(this::release);
    }

    private List<RequestId> heldBy(HostId host) {
        return mHeld.values().stream()
                .map(held -> held.grant().request())
                .filter(request -> request.host().equals(host))
                .map(SeatRequest::request)
                .toList();
    }

    /** Frees all seats of a host that no longer reports, and removes its waiting requests. */
    public synchronized void removeHost(HostId host) {
        heldBy(host).forEach(this::release);
        mWaiting.values().stream()
                .map(waiting -> waiting.mRequest)
                .filter(request -> request.host().equals(host))
                .map(SeatRequest::request)
                .toList()
                .forEach(this::cancel);
    }

    /** Returns whether no request waits. */
    public synchronized boolean isIdle() {
        return mWaiting.isEmpty();
    }
}
