package org.fuchsiaford.stream;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;
import java.util.Optional;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.registry.SoftwareVersion;

/**
 * Streams of a service that servers of one software version began. Immutable.
 *
 * @param service the service
 * @param version the version at which the streams may go on; null if that cannot be told any more
 * @param streams the streams
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"service", "version", "streams"})
public record BegunStreams(ServiceId service, SoftwareVersion version, List<StreamKey> streams) {
    /** Returns where each of the streams began. */
    StreamOrigin origin() {
        return new StreamOrigin(service, Optional.ofNullable(version));
    }
}
