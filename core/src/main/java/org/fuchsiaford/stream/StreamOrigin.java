package org.fuchsiaford.stream;

import java.util.Optional;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.registry.SoftwareVersion;

/**
 * The service and the software version that began a stream. Immutable.
 *
 * @param service the service
 * @param version the version at which the stream may go on; empty if it cannot be told, since the
 *     server was replaced by another version about the time at which the stream began
 */
public record StreamOrigin(ServiceId service, Optional<SoftwareVersion> version) {
    /** Creates the origin of a stream that a version began. */
    public static StreamOrigin of(ServiceId service, SoftwareVersion version) {
        return new StreamOrigin(service, Optional.of(version));
    }
}
