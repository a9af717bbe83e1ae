package org.fuchsiaford.host;

/**
 * Asks a grantor to promise that a subject may act for one lease term. Immutable.
 *
 * @param subject what the promise is for
 */
public record PromiseRequest(LeaseSubject subject) {}
