package org.fuchsiaford.registry;

/** The part that a model engine takes. Immutable. */
public enum EngineStage {
    /** Reads prompts and hands their KV cache on. */
    PREFILL,
    /** Produces tokens; reads prompts by itself at half the speed. */
    DECODE
}
