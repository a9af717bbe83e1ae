package org.fuchsiaford.entry.backend;

import org.fuchsiaford.bundle.BackendServer;
import org.fuchsiaford.placement.EngineLoad;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Calls model engines. Cancelling a publisher makes the engine abort the request and free its
 * memory. All methods fail with {@link BackendException}. Implementations are thread-safe.
 */
public interface EngineClient {
    /** Reads the current load of an engine. */
    Mono<EngineLoad> load(BackendServer engine);

    /** Computes the KV cache of a prompt. */
    Mono<PrefillResult> prefill(BackendServer engine, EngineRequest request);

    /**
     * Fetches the KV cache of a prefill and generates the output. The stream ends after the
     * {@linkplain CompletionChunk#isLast last chunk}. If the engine closes the response normally
     * before, the stream completes without it, so callers must check that they received the last
     * chunk.
     */
    Flux<CompletionChunk> decode(
            BackendServer engine, EngineRequest request, PrefillResult prefill);
}
