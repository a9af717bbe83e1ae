package org.fuchsiaford.standin;

import reactor.netty.DisposableServer;

/** A stand-in for a system outside the project. Implementations are thread-safe. */
public interface Standin {
    /**
     * Starts the HTTP server.
     *
     * @param port a port on the loopback interface, or zero for any free port
     */
    DisposableServer start(int port);
}
