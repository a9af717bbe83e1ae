package org.fuchsiaford.bundle;

/** The role of a backend server. Immutable. */
public enum BackendKind {
    PREFILL,
    DECODE,
    SERVICE
}
