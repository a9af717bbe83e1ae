package org.fuchsiaford.entry.gateway.protocol;

import java.util.Optional;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * A caller's request on its way to one backend server. Immutable.
 *
 * @param caller the request
 * @param server where it goes
 * @param purpose what the server shall do with it
 * @param remainingMillis the time that is left for it, in milliseconds
 * @param workspace whose request it is; none on open routes
 * @param priority its rank, zero first
 * @param source KV cache of its prompt, if another engine has read it
 * @param lastEventId the event after which a stream goes on, if it was begun elsewhere
 */
public record ServerRequest(
        CallerRequest caller,
        LiveServer server,
        Purpose purpose,
        long remainingMillis,
        Optional<WorkspaceId> workspace,
        int priority,
        Optional<KvSource> source,
        Optional<String> lastEventId) {

    /** What a backend server shall do with a request. */
    public enum Purpose {
        /** Run it and answer it. */
        RUN,
        /** Read its prompt only. */
        PREFILL
    }
}
