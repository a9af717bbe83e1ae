package org.fuchsiaford.entry.service;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.fuchsiaford.bundle.Route;
import org.fuchsiaford.request.RequestId;

/**
 * A request to a plain service. Immutable; {@code headers} and {@code body} must not be modified.
 *
 * @param id the ID of the request
 * @param route the route that the request matched
 * @param method the HTTP method
 * @param uri path and query
 * @param headers the headers to send: those of the client without credentials and hop-by-hop
 *     headers
 * @param body the body
 */
public record ServiceRequest(
        RequestId id,
        Route route,
        HttpMethod method,
        String uri,
        HttpHeaders headers,
        byte[] body) {}
