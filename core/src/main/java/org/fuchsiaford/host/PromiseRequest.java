package org.fuchsiaford.host;

/**
 * Asks a member of a panel to promise that a subject may act. Immutable.
 *
 * @param subject what the promise is for
 */
public record PromiseRequest(LeaseSubject subject) {}
