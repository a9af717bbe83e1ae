package org.fuchsiaford.registry;

/** The stage of a model request that a model engine serves. */
public enum EngineStage {
    /** Prefills prompts and provides their KV cache to decode engines. */
    PREFILL,
    /** Generates tokens; can also prefill prompts, at half the speed. */
    DECODE
}
