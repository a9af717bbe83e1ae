package org.fuchsiaford.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.registry.RegionMap;

/**
 * Hosts that exchange heartbeats with their coordinators in virtual time, as {@code
 * HeartbeatExchange} does. Not thread-safe.
 */
final class FleetSimulation {
    static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final int STEPS_PER_ROUND = 10;
    private static final int DOMAINS = 5;

    private final List<Host> mHosts = new ArrayList<>();
    private final Set<Integer> mDead = new HashSet<>();
    private final Set<Integer> mPaused = new HashSet<>();
    private final Random mRandom;
    private double mLoss;
    private long mNowNanos;
    private long mMessages;

    private record Host(HostRecord record, FleetView view, CoordinatorTracker tracker) {}

    FleetSimulation(int hosts, Random random) {
        mRandom = random;
        IntStream.range(0, hosts).forEach(i -> mHosts.add(host(i)));
        mHosts.forEach(host -> mHosts.forEach(other -> host.view().register(other.record())));
    }

    private static Host host(int index) {
        HostRecord record =
                new HostRecord(
                        new HostId("h" + index),
                        new FailureDomainId("d" + index % DOMAINS),
                        "c" + index,
                        "p" + index,
                        index % 6 == 0 ? 1.5 : 0.36);
        FleetView view = new FleetView(record);
        return new Host(record, view, new CoordinatorTracker(view, 0));
    }

    /** Sets the part of the exchanges that fail. */
    void setLoss(double loss) {
        mLoss = loss;
    }

    void kill(int host) {
        mDead.add(host);
    }

    void pause(int host) {
        mPaused.add(host);
    }

    void resume(int host) {
        mPaused.remove(host);
    }

    /** Returns the messages sent since the last call. */
    long pollMessages() {
        long messages = mMessages;
        mMessages = 0;
        return messages;
    }

    void run(double seconds) {
        long untilNanos = mNowNanos + (long) (seconds * 1e9);
        while (mNowNanos < untilNanos) {
            mNowNanos += STEP_NANOS;
            long step = mNowNanos / STEP_NANOS;
            IntStream.range(0, mHosts.size())
                    .filter(i -> (step + i) % STEPS_PER_ROUND == 0)
                    .filter(this::isRunning)
                    .forEach(i -> runRound(mHosts.get(i)));
        }
    }

    private boolean isRunning(int host) {
        return !mDead.contains(host) && !mPaused.contains(host);
    }

    private void runRound(Host host) {
        host.view().removeExpired(mNowNanos);
        host.tracker().retainKnown();
        host.tracker().coordinators().stream()
                .filter(c -> !c.id().equals(host.record().id()))
                .forEach(c -> exchange(host, c));
        host.tracker().dueForProbe(mNowNanos).forEach(c -> exchange(host, c));
    }

    private void exchange(Host host, HostRecord coordinator) {
        mMessages++;
        int index = Integer.parseInt(coordinator.id().value().substring(1));
        if (!isRunning(index) || mRandom.nextDouble() < mLoss) {
            host.tracker().recordFailure(coordinator.id(), mNowNanos);
            return;
        }
        Host receiver = mHosts.get(index);
        receiver.view()
                .recordHeartbeat(
                        TestHeartbeats.idle(
                                host.record(), TimeUnit.NANOSECONDS.toMillis(mNowNanos), true),
                        mNowNanos);
        host.view().recordContact(coordinator, mNowNanos);
        host.tracker().recordSuccess(coordinator.id(), mNowNanos);
        Optional<HostRecord> primary = host.tracker().primary(mNowNanos);
        if (primary.isEmpty() || primary.get().equals(coordinator)) {
            host.view()
                    .recordSummary(
                            new FleetSummary(
                                    coordinator,
                                    0,
                                    receiver.view().availableHosts(true, mNowNanos),
                                    List.of(),
                                    List.of(),
                                    List.of(),
                                    List.of(),
                                    List.of(),
                                    0,
                                    List.of()),
                            mNowNanos);
        }
    }

    /** Returns the coordinator that each running host asks; empty entries ask none. */
    List<Optional<HostId>> primaries() {
        return IntStream.range(0, mHosts.size())
                .filter(this::isRunning)
                .mapToObj(mHosts::get)
                .map(host -> host.tracker().primary(mNowNanos).map(HostRecord::id))
                .toList();
    }

    /** Returns the coordinators by the view of a host. */
    List<Integer> coordinators(int host) {
        return mHosts.get(host).tracker().coordinators().stream()
                .map(c -> Integer.parseInt(c.id().value().substring(1)))
                .toList();
    }

    /** Returns how many running hosts name a host to callers of its failure domain. */
    long namedBy(int named) {
        HostRecord record = mHosts.get(named).record();
        return IntStream.range(0, mHosts.size())
                .filter(this::isRunning)
                .filter(i -> i != named)
                .mapToObj(mHosts::get)
                .filter(
                        host ->
                                host.view()
                                        .callerAddresses(
                                                record.failureDomain(),
                                                Optional.empty(),
                                                RegionMap.NONE,
                                                true,
                                                mNowNanos)
                                        .contains(record.callerAddress()))
                .count();
    }
}
