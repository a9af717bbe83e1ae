package org.fuchsiaford.entry.service;

/**
 * The complete response of a plain service. Immutable; {@code body} must not be modified.
 *
 * @param status the HTTP status code
 * @param contentType the content type, or null
 * @param body the body
 */
public record ServiceResponse(int status, String contentType, byte[] body) {}
