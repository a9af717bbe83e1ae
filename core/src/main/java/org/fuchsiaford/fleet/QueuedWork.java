package org.fuchsiaford.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.fuchsiaford.backend.ServiceId;

/**
 * The requests of one host that wait for engines of a service and can still be on time. Immutable.
 *
 * @param service the service
 * @param tokens their planned KV cache
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"service", "tokens"})
public record QueuedWork(ServiceId service, long tokens) {}
