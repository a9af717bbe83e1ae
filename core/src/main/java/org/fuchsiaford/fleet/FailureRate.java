package org.fuchsiaford.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.fuchsiaford.backend.BackendServerId;

/**
 * The recent failure rate of a backend server over all hosts. Immutable.
 *
 * @param server the server
 * @param rate the part of its calls that failed, from 0 to 1
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"server", "rate"})
public record FailureRate(BackendServerId server, double rate) {}
