package org.fuchsiaford.registry;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.fuchsiaford.backend.BackendServerId;

/**
 * Identifies one run of a backend server. What a server says of itself holds for its run only.
 * Immutable.
 *
 * @param id the server
 * @param startedMillis the start of the run in Unix milliseconds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"id", "startedMillis"})
public record ServerRun(BackendServerId id, long startedMillis) {}
