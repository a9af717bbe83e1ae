package org.fuchsiaford.entry.service;

/**
 * The whole answer of a plain service. Immutable; nobody changes the body.
 *
 * @param status the HTTP status
 * @param contentType the content type, or null
 * @param body the body
 */
public record ServiceResponse(int status, String contentType, byte[] body) {}
