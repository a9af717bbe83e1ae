package org.fuchsiaford.entry.service;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.fuchsiaford.bundle.Route;
import org.fuchsiaford.request.RequestId;

/**
 * A request to a plain service. Immutable; nobody changes headers and body.
 *
 * @param id the request
 * @param route the route that it came by
 * @param method the HTTP method
 * @param uri path and query
 * @param headers the caller's headers, without its key and those of the connection
 * @param body the body
 */
public record ServiceRequest(
        RequestId id,
        Route route,
        HttpMethod method,
        String uri,
        HttpHeaders headers,
        byte[] body) {}
