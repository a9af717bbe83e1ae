package org.fuchsiaford.entry;

import java.util.function.Supplier;
import reactor.core.publisher.Mono;
import reactor.netty.http.HttpResources;

/** Runs a host for the lifetime of the process. Stateless, hence thread-safe. */
public final class Daemon {
    private static final int EXIT_FAILED = 1;

    private Daemon() {}

    /**
     * Starts a host and blocks until the process exits. SIGTERM stops the host gracefully; if the
     * start fails, or an event loop is blocked later, the process exits with status 1.
     *
     * @param start completes when the host is listening
     * @param stop completes when the host has stopped
     */
    public static void run(Supplier<Mono<Void>> start, Supplier<Mono<Void>> stop)
            throws InterruptedException {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop.get().block(), "shutdown"));
        try {
            start.get().block();
            EventLoopWatchdog.start(HttpResources.get().onServer(true));
        } catch (RuntimeException e) {
            System.err.println("cannot start: " + e.getMessage());
            Runtime.getRuntime().halt(EXIT_FAILED);
        }
        Thread.currentThread().join();
    }
}
