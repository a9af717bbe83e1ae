package org.fuchsiaford.entry;

import java.util.function.Supplier;
import reactor.core.publisher.Mono;

/** Runs a host until the process is told to stop. Stateless, hence thread-safe. */
public final class Daemon {
    private static final int EXIT_FAILED = 1;

    private Daemon() {}

    /**
     * Starts a host and waits; SIGTERM stops it gracefully, and a failed start ends the process.
     *
     * @param start completes once the host listens
     * @param stop completes once it has stopped
     */
    public static void run(Supplier<Mono<Void>> start, Supplier<Mono<Void>> stop)
            throws InterruptedException {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop.get().block(), "shutdown"));
        try {
            start.get().block();
        } catch (RuntimeException e) {
            System.err.println("cannot start: " + e.getMessage());
            Runtime.getRuntime().halt(EXIT_FAILED);
        }
        Thread.currentThread().join();
    }
}
