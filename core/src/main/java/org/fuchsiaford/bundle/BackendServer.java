package org.fuchsiaford.bundle;

import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ModelId;
import org.fuchsiaford.backend.PoolId;
import org.fuchsiaford.backend.ServiceId;

/**
 * A backend server, either a model engine or a plain service. Immutable.
 *
 * <p>Invariant: an engine has a model and a pool but no service; a plain service has only a
 * service.
 *
 * @param id the ID, unique in the bundle
 * @param kind the role
 * @param failureDomain the failure domain that the server runs in
 * @param url the base URL, {@code http://ip:port}
 * @param model the model that the engine serves, or null
 * @param pool the pool that the engine belongs to, or null
 * @param service the plain service that the server runs, or null
 * @param seats the most requests that a decode engine runs concurrently; zero for other kinds
 * @param pieces the KV cache capacity of an engine, in blocks; zero for plain services
 * @param prefillTokensPerSecond the prefill throughput, in tokens per second; zero unless the
 *     server is a prefill engine
 * @param linkBytesPerSecond the bandwidth of the KV transfer link, in bytes per second; zero for
 *     plain services
 * @param checksFencing whether the server rejects orders with an outdated fencing token
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
