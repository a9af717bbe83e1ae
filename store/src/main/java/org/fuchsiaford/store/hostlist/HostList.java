package org.fuchsiaford.store.hostlist;

import java.util.List;
import reactor.core.publisher.Mono;

/**
 * The platform's list of live and leaving hosts, which may be out of date. Implementations are
 * thread-safe.
 */
public interface HostList {
    /** Reads the list; fails with {@link HostListException} if it is unavailable or malformed. */
    Mono<List<ListedHost>> read();
}
