package org.fuchsiaford.serverlimit;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.fuchsiaford.registry.ServerRun;

/**
 * What a run of a backend server has last said about the requests that it takes. Immutable.
 *
 * @param server the run of the server
 * @param requestsPerSecond the requests that it takes from all hosts together; infinite if it names
 *     no limit any more
 * @param ageMillis the age of the response that said so, since hosts have no common clock
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"server", "requestsPerSecond", "ageMillis"})
public record NamedLimit(ServerRun server, double requestsPerSecond, long ageMillis) {}
