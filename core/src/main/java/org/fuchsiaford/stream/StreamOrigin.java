package org.fuchsiaford.stream;

import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.registry.SoftwareVersion;

/**
 * The service and the software version that began a stream. Immutable.
 *
 * @param service the service
 * @param version the version at which the stream may go on
 */
public record StreamOrigin(ServiceId service, SoftwareVersion version) {}
