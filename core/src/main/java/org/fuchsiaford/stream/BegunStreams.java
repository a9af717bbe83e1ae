package org.fuchsiaford.stream;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.registry.SoftwareVersion;

/**
 * Streams of a service that servers of one software version began. Immutable.
 *
 * @param service the service
 * @param version the version at which the streams may go on
 * @param streams the streams
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"service", "version", "streams"})
public record BegunStreams(ServiceId service, SoftwareVersion version, List<StreamKey> streams) {}
