package org.fuchsiaford.entry;

import java.time.Duration;
import java.util.function.Supplier;
import reactor.core.publisher.Mono;
import reactor.netty.http.HttpResources;
import reactor.netty.tcp.TcpResources;

/** Runs a host for the lifetime of the process. Stateless, hence thread-safe. */
public final class Daemon {
    private static final int EXIT_FAILED = 1;

    /** An event loop that is not blocked ends in a few milliseconds. */
    private static final Duration LOOPS_TIMEOUT = Duration.ofMillis(150);

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
        Runtime.getRuntime().addShutdownHook(new Thread(() -> end(stop), "shutdown"));
        try {
            start.get().block();
            EventLoopWatchdog.start(HttpResources.get().onServer(true));
        } catch (RuntimeException e) {
            System.err.println("cannot start: " + e.getMessage());
            Runtime.getRuntime().halt(EXIT_FAILED);
        }
        Thread.currentThread().join();
    }

    /**
     * Stops the host, then the event loops, which close what is open. Else the runtime freezes them
     * and waits 0.3 s for them, in which callers send to connections that nobody reads.
     */
    private static void end(Supplier<Mono<Void>> stop) {
        stop.get().block();
        Mono.when(
                        HttpResources.disposeLoopsAndConnectionsLater(Duration.ZERO, LOOPS_TIMEOUT),
                        TcpResources.disposeLoopsAndConnectionsLater(Duration.ZERO, LOOPS_TIMEOUT))
                .timeout(LOOPS_TIMEOUT)
                .onErrorComplete()
                .block();
    }
}
