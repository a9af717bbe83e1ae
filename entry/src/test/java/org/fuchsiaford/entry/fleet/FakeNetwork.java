package org.fuchsiaford.entry.fleet;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import reactor.core.publisher.Mono;

/**
 * The network between hosts and store in virtual time: delays, late, lost and duplicated messages,
 * cuts and dead ends, all from a seed. Not thread-safe.
 */
final class FakeNetwork {
    static final String STORE = "store";

    private static final int MAX_DELAY_MICROS = 4_000;
    private static final int MAX_LATE_MILLIS = 900;

    private final Random mRandom;
    private final Set<String> mDown = new HashSet<>();
    private final Set<String> mCuts = new HashSet<>();
    private double mTroublePart;

    FakeNetwork(long seed) {
        mRandom = new Random(seed);
    }

    /** Sets the part of messages that is lost, late or duplicated. */
    void setFaultRate(double part) {
        mTroublePart = part;
    }

    void setDown(String node, boolean down) {
        if (down) {
            mDown.add(node);
        } else {
            mDown.remove(node);
        }
    }

    void cut(String a, String b) {
        mCuts.add(a + "|" + b);
        mCuts.add(b + "|" + a);
    }

    /** Cuts some nodes off from the store and from all others, but not from each other. */
    void isolate(List<String> island, List<String> nodes) {
        island.forEach(a -> cut(a, STORE));
        nodes.stream()
                .filter(node -> !island.contains(node))
                .forEach(node -> island.forEach(a -> cut(a, node)));
    }

    void healPartitions() {
        mCuts.clear();
    }

    boolean isOpen(String from, String to) {
        return !mDown.contains(from) && !mDown.contains(to) && !mCuts.contains(from + "|" + to);
    }

    /** Carries a request there and its answer back; fails at the time-out if either is lost. */
    <T> Mono<T> call(String from, String to, Duration timeout, Supplier<Mono<T>> handler) {
        return Mono.defer(() -> travel(from, to))
                .flatMap(arrived -> arrived ? handle(handler) : Mono.<T>never())
                .flatMap(answer -> travel(to, from).flatMap(a -> back(a, answer)))
                .timeout(timeout)
                .onErrorMap(TimeoutException.class, e -> new IllegalStateException("no answer"));
    }

    private <T> Mono<T> handle(Supplier<Mono<T>> handler) {
        if (isTroubled()) {
            handler.get().subscribe(answer -> {}, e -> {});
        }
        return handler.get();
    }

    private static <T> Mono<T> back(boolean arrived, T answer) {
        return arrived ? Mono.just(answer) : Mono.never();
    }

    /** Returns whether a message arrives; a message sent into a cut is lost. */
    private Mono<Boolean> travel(String from, String to) {
        if (isTroubled()) {
            if (mRandom.nextBoolean()) {
                return Mono.just(false);
            }
            return Mono.delay(Duration.ofMillis(mRandom.nextInt(MAX_LATE_MILLIS)))
                    .map(tick -> isOpen(from, to));
        }
        return Mono.delay(Duration.ofNanos(mRandom.nextInt(MAX_DELAY_MICROS) * 1_000L))
                .map(tick -> isOpen(from, to));
    }

    private boolean isTroubled() {
        return mRandom.nextDouble() < mTroublePart;
    }
}
