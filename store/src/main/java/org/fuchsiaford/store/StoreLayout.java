package org.fuchsiaford.store;

import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.bundle.Digest;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.workspace.WorkspaceId;

/** Where each record lies in the platform's key-value service. */
public final class StoreLayout {
    /** The head record. */
    public static final StoreKey HEAD = new StoreKey("/fuchsiaford/head");

    /** The slot records. */
    public static final StoreKey SLOTS = new StoreKey("/fuchsiaford/slots/");

    /** Keys that exist while the store's lease of a slot's holder lasts. */
    public static final StoreKey LIVE = new StoreKey("/fuchsiaford/live/");

    /** The registrations of entry hosts that follow a live registry. */
    public static final StoreKey HOSTS = new StoreKey("/fuchsiaford/hosts/");

    /** Who may give orders to model engines. */
    public static final StoreKey ORDER_HOLDER = new StoreKey("/fuchsiaford/order-holder");

    private static final StoreKey PIECES = new StoreKey("/fuchsiaford/pieces/");
    private static final StoreKey BUNDLES = new StoreKey("/fuchsiaford/bundles/");
    private static final StoreKey IDEMPOTENCY = new StoreKey("/fuchsiaford/idempotency/");
    private static final StoreKey ORDERS = new StoreKey("/fuchsiaford/orders/");

    private StoreLayout() {}

    /** Returns the key of a piece of a bundle. */
    public static StoreKey piece(Digest digest) {
        return PIECES.child(digest.value());
    }

    /** Returns the key of the signed-off manifest of a bundle version. */
    public static StoreKey bundle(long version) {
        return BUNDLES.child(Long.toString(version));
    }

    /** Returns the key of a slot record. */
    public static StoreKey slot(SlotId slot) {
        return SLOTS.child(slot.value());
    }

    /** Returns the key that lives as long as the store's lease of a slot's holder. */
    public static StoreKey live(SlotId slot) {
        return LIVE.child(slot.value());
    }

    /** Returns the key of an idempotency record. */
    public static StoreKey idempotency(WorkspaceId workspace, Digest key) {
        return IDEMPOTENCY.child(workspace.value() + "/" + key.value());
    }

    /** Returns the key of the record of the last order to a model engine. */
    public static StoreKey order(BackendServerId engine) {
        return ORDERS.child(engine.value());
    }
}
