package org.fuchsiaford.store;

import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.bundle.Digest;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.workspace.WorkspaceId;

/** The keys of the records in the platform's key-value service. */
public final class StoreKeys {
    /** The key of the bundle head record. */
    public static final StoreKey HEAD = new StoreKey("/fuchsiaford/head");

    /** The prefix of the keys of slot records. */
    public static final StoreKey SLOT_PREFIX = new StoreKey("/fuchsiaford/slots/");

    /** The prefix of keys that exist until the store lease of a slot's holder expires. */
    public static final StoreKey LIVENESS_PREFIX = new StoreKey("/fuchsiaford/live/");

    /** The prefix of the registrations of entry hosts that follow a live registry. */
    public static final StoreKey HOST_PREFIX = new StoreKey("/fuchsiaford/hosts/");

    /** The key of the record that names the host allowed to send orders to model engines. */
    public static final StoreKey ORDER_HOLDER = new StoreKey("/fuchsiaford/order-holder");

    /** The prefix of the keys that hosts which follow a live registry write and watch. */
    public static final StoreKey WATCHED_PREFIX = new StoreKey("/fuchsiaford/");

    /** The prefix of the records of the software versions that serve streams. */
    public static final StoreKey VERSIONS_PREFIX = new StoreKey("/fuchsiaford/versions/");

    /**
     * The prefix of the records of where streams began; outside {@link #WATCHED_PREFIX}, since they
     * are written often and read rarely.
     */
    public static final StoreKey STREAMS_PREFIX = new StoreKey("/fuchsiaford-streams/");

    private static final StoreKey BUNDLE_CHUNK_PREFIX = new StoreKey("/fuchsiaford/pieces/");
    private static final StoreKey BUNDLE_PREFIX = new StoreKey("/fuchsiaford/bundles/");
    private static final StoreKey IDEMPOTENCY_PREFIX = new StoreKey("/fuchsiaford/idempotency/");
    private static final StoreKey ORDER_PREFIX = new StoreKey("/fuchsiaford/orders/");

    private StoreKeys() {}

    /** Returns the key of a bundle chunk. */
    public static StoreKey bundleChunk(Digest digest) {
        return BUNDLE_CHUNK_PREFIX.append(digest.value());
    }

    /** Returns the key of the signed manifest of a bundle version. */
    public static StoreKey bundle(long version) {
        return BUNDLE_PREFIX.append(Long.toString(version));
    }

    /** Returns the key of the record of the software versions that serve streams of a service. */
    public static StoreKey versions(ServiceId service) {
        return VERSIONS_PREFIX.append(service.value());
    }

    /** Returns the key of a record of where streams began, the n-th that a host writes. */
    public static StoreKey streams(HostId host, long number) {
        return STREAMS_PREFIX.append(host.value() + "/" + number);
    }

    /** Returns the key of a slot record. */
    public static StoreKey slot(SlotId slot) {
        return SLOT_PREFIX.append(slot.value());
    }

    /** Returns the key that exists until the store lease of a slot's holder expires. */
    public static StoreKey liveness(SlotId slot) {
        return LIVENESS_PREFIX.append(slot.value());
    }

    /** Returns the key of an idempotency record. */
    public static StoreKey idempotency(WorkspaceId workspace, Digest key) {
        return IDEMPOTENCY_PREFIX.append(workspace.value() + "/" + key.value());
    }

    /** Returns the key of the record of the last order to a model engine. */
    public static StoreKey order(BackendServerId engine) {
        return ORDER_PREFIX.append(engine.value());
    }
}
