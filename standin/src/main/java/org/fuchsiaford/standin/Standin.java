package org.fuchsiaford.standin;

import reactor.netty.DisposableServer;

/** A stand-in for a system outside the project. Implementations are thread-safe. */
public interface Standin {
    /**
     * Starts to listen.
     *
     * @param port a port on the loopback interface; zero for any free one
     */
    DisposableServer start(int port);
}
