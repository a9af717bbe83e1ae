package org.fuchsiaford.bundle;

import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ModelId;
import org.fuchsiaford.backend.PoolId;
import org.fuchsiaford.backend.ServiceId;

/**
 * A backend server: a model engine or a plain service. Immutable.
 *
 * <p>Invariant: an engine has model and pool and no service; a plain service the reverse.
 *
 * @param id the backend server
 * @param kind its role
 * @param failureDomain where it runs
 * @param url its address, {@code http://ip:port}
 * @param model the model it serves, or null
 * @param pool the pool it belongs to, or null
 * @param service the plain service it runs, or null
 * @param seats requests that it decodes at once; zero unless it decodes
 * @param pieces pieces of engine memory; zero for plain services
 * @param prefillTokensPerSecond prefill speed in tokens a second; zero unless it prefills
 * @param linkBytesPerSecond rate of its transfer link in bytes a second
 * @param checksFencing whether it refuses orders with an old fencing number
 */
public record BackendServer(
        BackendServerId id,
        BackendKind kind,
        FailureDomainId failureDomain,
        String url,
        ModelId model,
        PoolId pool,
        ServiceId service,
        int seats,
        int pieces,
        long prefillTokensPerSecond,
        long linkBytesPerSecond,
        boolean checksFencing) {}
