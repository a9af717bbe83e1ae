package org.fuchsiaford.entry.gateway.protocol;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.TokenCounts;
import org.fuchsiaford.workspace.KeyHash;

/**
 * A caller's request without its body, as the caller protocol decoded it. Immutable; nobody changes
 * the headers.
 *
 * @param id the caller's id of this attempt
 * @param method the HTTP method
 * @param uri path and query, byte for byte
 * @param path the path alone
 * @param virtualHost the name in the {@code Host} header, without a port
 * @param headers what may go on to a backend server: no key, nothing that is ours to set
 * @param key the hash of the key, if there is one
 * @param deadlineNanos when the caller stops waiting
 * @param tokens the size, if the caller gave it
 * @param lastEventId the last event that the caller has, if it resumes a stream
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
        Optional<String> lastEventId) {}
