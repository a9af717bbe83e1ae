package org.fuchsiaford.bundle;

/** What a backend server does. Immutable. */
public enum BackendKind {
    PREFILL,
    DECODE,
    SERVICE
}
