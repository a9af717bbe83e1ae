package org.fuchsiaford.entry.gateway.protocol;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import org.fuchsiaford.prompt.PromptPartId;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.TokenCounts;
import org.fuchsiaford.workspace.KeyHash;

/**
 * A caller's request without its body, as decoded by {@link CallerProtocol}. Immutable; the headers
 * must not be modified.
 *
 * @param id the request id that the caller assigned to this attempt
 * @param method the HTTP method
 * @param uri path and query, unmodified
 * @param path the path without the query
 * @param virtualHost the host name in the {@code Host} header, without the port
 * @param headers the headers to forward to a backend server; excludes the API key and all headers
 *     that this host sets itself
 * @param key the hash of the API key, if the request has one
 * @param deadlineNanos when the caller stops waiting, on the monotonic clock
 * @param tokens the token counts, if the caller stated them
 * @param promptParts the parts of its prompt in order, if the caller stated them; else empty
 * @param lastEventId the id of the last event that the caller received, if it resumes a stream
 * @param resumes the request that brought the first event of that stream, if the caller states it
 */
public record CallerRequest(
        RequestId id,
        HttpMethod method,
        String uri,
        String path,
        String virtualHost,
        HttpHeaders headers,
        Optional<KeyHash> key,
        long deadlineNanos,
        Optional<TokenCounts> tokens,
        List<PromptPartId> promptParts,
        Optional<String> lastEventId,
        Optional<RequestId> resumes) {}
