package org.fuchsiaford.entry.gateway.protocol;

import java.util.Optional;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * A caller's request as sent to one backend server. Immutable.
 *
 * @param caller the caller's request
 * @param server the backend server
 * @param purpose what the server is to do
 * @param remainingMillis the time until the deadline, in milliseconds
 * @param workspace the workspace that is charged; empty for public access
 * @param priority the priority; 0 is the highest
 * @param source the KV cache of the prompt, if another engine ran prefill
 * @param lastEventId the event after which to resume a stream that another server began
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

    /** What a backend server is to do with a request. */
    public enum Purpose {
        /** Run the whole request and respond. */
        RUN,
        /** Run prefill only. */
        PREFILL
    }
}
