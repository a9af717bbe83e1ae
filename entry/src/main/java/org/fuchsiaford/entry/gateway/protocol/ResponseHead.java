package org.fuchsiaford.entry.gateway.protocol;

import io.netty.handler.codec.http.HttpHeaders;
import org.fuchsiaford.attempt.AttemptOutcome;

/**
 * Status and headers of a backend server's response. Immutable; the headers must not be modified.
 *
 * @param status the HTTP status
 * @param outcome the outcome of the attempt according to the head, if the body arrives complete
 * @param headers the headers to forward to the caller
 */
public record ResponseHead(int status, AttemptOutcome outcome, HttpHeaders headers) {}
