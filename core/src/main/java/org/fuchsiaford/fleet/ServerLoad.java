package org.fuchsiaford.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.fuchsiaford.backend.BackendServerId;

/**
 * What one host has under way at a backend server. Immutable.
 *
 * @param server the server
 * @param requests requests sent and not ended
 * @param tokens prompt and answer tokens of those requests
 * @param unreadTokens prompt tokens of those whose first event has not come
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"server", "requests", "tokens", "unreadTokens"})
public record ServerLoad(BackendServerId server, int requests, long tokens, long unreadTokens) {

    /** Returns the sum of two loads of the same server. */
    public ServerLoad plus(ServerLoad other) {
        return new ServerLoad(
                server,
                requests + other.requests,
                tokens + other.tokens,
                unreadTokens + other.unreadTokens);
    }
}
