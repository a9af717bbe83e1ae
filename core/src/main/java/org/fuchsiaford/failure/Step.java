package org.fuchsiaford.failure;

/** The processing step that an exception refers to. Immutable. */
public enum Step {
    READ_SETTINGS,
    READ_BUNDLE,
    VERIFY_SIGNATURE,
    READ_STORE,
    SWAP_STORE,
    LEASE_STORE,
    WATCH_STORE,
    CALL_PEER,
    AUTHENTICATE,
    ADMIT,
    PLACE,
    PREFILL,
    TRANSFER,
    DECODE,
    FORWARD,
    CLAIM_IDEMPOTENCY_KEY,
    ORDER_ENGINE
}
