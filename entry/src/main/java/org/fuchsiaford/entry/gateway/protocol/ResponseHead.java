package org.fuchsiaford.entry.gateway.protocol;

import io.netty.handler.codec.http.HttpHeaders;
import org.fuchsiaford.attempt.AttemptOutcome;

/**
 * The head of a backend server's answer. Immutable; nobody changes the headers.
 *
 * @param status the HTTP status
 * @param outcome what the head proves of the attempt, provided that the body is whole
 * @param headers what goes on to the caller
 */
public record ResponseHead(int status, AttemptOutcome outcome, HttpHeaders headers) {}
