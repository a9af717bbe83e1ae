package org.fuchsiaford.store.hostlist;

import java.util.List;
import reactor.core.publisher.Mono;

/** The platform's list of live and leaving hosts. It lags. Implementations are thread-safe. */
public interface HostList {
    /** Reads the list; fails with {@link HostListException} if it cannot be had. */
    Mono<List<ListedHost>> read();
}
