package org.fuchsiaford.entry.backend;

import org.fuchsiaford.bundle.BackendServer;
import org.fuchsiaford.placement.EngineLoad;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Speaks to model engines. Cancelling a publisher makes the engine drop the request and free its
 * memory. All fail with {@link BackendException}. Implementations are thread-safe.
 */
public interface EngineClient {
    /** Reads an engine's load. */
    Mono<EngineLoad> load(BackendServer engine);

    /** Computes the KV cache of a prompt. */
    Mono<PrefillResult> prefill(BackendServer engine, EngineRequest call);

    /**
     * Fetches a KV cache and generates the answer. The stream ends after a chunk that is last; one
     * that ends before fails.
     */
    Flux<CompletionChunk> decode(BackendServer engine, EngineRequest call, PrefillResult prefill);
}
