package org.fuchsiaford.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.fuchsiaford.backend.ServiceId;

/**
 * The requests of one host that are queued for engines of a service and can still meet their
 * target. Immutable.
 *
 * @param service the service
 * @param tokens the KV cache planned for them, in tokens
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"service", "tokens"})
public record QueuedWork(ServiceId service, long tokens) {}
