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
 * The network between hosts and store in virtual time. Delays, and which messages are late, lost or
 * duplicated, follow from a seed; links and nodes can be taken down. Not thread-safe.
 */
final class FakeNetwork {
    static final String STORE = "store";

    private static final int MAX_DELAY_MICROS = 4_000;
    private static final int MAX_LATE_DELAY_MILLIS = 900;

    private final Random mRandom;
    private final Set<String> mDown = new HashSet<>();
    private final Set<String> mCutLinks = new HashSet<>();
    private double mFaultRate;

    FakeNetwork(long seed) {
        mRandom = new Random(seed);
    }

    /** Sets the fraction of messages that are lost, late or duplicated. */
    void setFaultRate(double rate) {
        mFaultRate = rate;
    }

    void setDown(String node, boolean down) {
        if (down) {
            mDown.add(node);
        } else {
            mDown.remove(node);
        }
    }

    void cut(String a, String b) {
        mCutLinks.add(a + "|" + b);
        mCutLinks.add(b + "|" + a);
    }

    /**
     * Isolates a group of nodes from the store and from all other nodes, but not from each other.
     */
    void isolate(List<String> group, List<String> nodes) {
        group.forEach(a -> cut(a, STORE));
        nodes.stream()
                .filter(node -> !group.contains(node))
                .forEach(node -> group.forEach(a -> cut(a, node)));
    }

    void healPartitions() {
        mCutLinks.clear();
    }

    boolean isOpen(String from, String to) {
        return !mDown.contains(from) && !mDown.contains(to) && !mCutLinks.contains(from + "|" + to);
    }

    /** Transmits a request and its response; fails at the time-out if either is lost. */
    <T> Mono<T> call(String from, String to, Duration timeout, Supplier<Mono<T>> handler) {
        return Mono.defer(() -> transmit(from, to))
                .flatMap(arrived -> arrived ? handle(handler) : Mono.<T>never())
                .flatMap(response -> transmit(to, from).flatMap(a -> deliverResponse(a, response)))
                .timeout(timeout)
                .onErrorMap(TimeoutException.class, e -> new IllegalStateException("no response"));
    }

    private <T> Mono<T> handle(Supplier<Mono<T>> handler) {
        if (isFaulty()) {
            handler.get().subscribe(response -> {}, e -> {});
        }
        return handler.get();
    }

    private static <T> Mono<T> deliverResponse(boolean arrived, T response) {
        return arrived ? Mono.just(response) : Mono.never();
    }

    /** Returns whether a message arrives; it is lost if the link is down on arrival. */
    private Mono<Boolean> transmit(String from, String to) {
        if (isFaulty()) {
            if (mRandom.nextBoolean()) {
                return Mono.just(false);
            }
            return Mono.delay(Duration.ofMillis(mRandom.nextInt(MAX_LATE_DELAY_MILLIS)))
                    .map(tick -> isOpen(from, to));
        }
        return Mono.delay(Duration.ofNanos(mRandom.nextInt(MAX_DELAY_MICROS) * 1_000L))
                .map(tick -> isOpen(from, to));
    }

    private boolean isFaulty() {
        return mRandom.nextDouble() < mFaultRate;
    }
}
