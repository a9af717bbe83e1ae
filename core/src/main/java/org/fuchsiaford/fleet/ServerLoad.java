package org.fuchsiaford.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.fuchsiaford.backend.BackendServerId;

/**
 * The load in progress on a backend server, from one host or summed over several. Immutable.
 *
 * @param server the server
 * @param requests requests in progress
 * @param tokens prompt and output tokens of these requests
 * @param unreadTokens prompt tokens of the requests whose first event has not arrived
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"server", "requests", "tokens", "unreadTokens"})
public record ServerLoad(BackendServerId server, int requests, long tokens, long unreadTokens) {

    /** Returns the load that cancels this one out in a sum. */
    public ServerLoad negated() {
        return new ServerLoad(server, -requests, -tokens, -unreadTokens);
    }

    /** Returns the sum of this and another load of the same server. */
    public ServerLoad plus(ServerLoad other) {
        return new ServerLoad(
                server,
                requests + other.requests,
                tokens + other.tokens,
                unreadTokens + other.unreadTokens);
    }
}
