package org.fuchsiaford.selection;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fuchsiaford.TestServers;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.TokenCounts;
import org.fuchsiaford.workspace.WorkspaceId;

/** A request of a caller in a replay, over all its attempts. Not thread-safe. */
final class LoadRequest {
    private static final long DEADLINE_NANOS = 14 * EngineReplay.SECOND;
    private static final int DOMAINS = 6;

    private final String mId;
    private final LoadKind mKind;
    private final int mWorkspace;
    private final int mHost;
    private final TokenCounts mTokens;
    private final long mArrivedNanos;
    private long mReturnDelayNanos;
    private int mAttempts;
    private boolean mInTime;

    /** A kind of request: a route with its priority, target and mean prompt. */
    record LoadKind(String route, int priority, long targetMillis, int meanTokens, double part) {}

    LoadRequest(
            String id,
            LoadKind kind,
            int workspace,
            int host,
            TokenCounts tokens,
            long arrivedNanos) {
        mId = id;
        mKind = kind;
        mWorkspace = workspace;
        mHost = host;
        mTokens = tokens;
        mArrivedNanos = arrivedNanos;
    }

    /** Returns the request as its host sends it when the caller asks. */
    EngineRequest toEngineRequest(long nowNanos) {
        return new EngineRequest(
                new HostId("h" + mHost),
                new FailureDomainId(domain()),
                new RequestId(mId + "~" + mAttempts++),
                TestServers.SERVICE,
                mTokens,
                List.of(),
                mKind.priority(),
                Set.of(),
                Optional.empty(),
                mKind.targetMillis(),
                nowNanos,
                nowNanos + 3_600 * EngineReplay.MILLI,
                mArrivedNanos + DEADLINE_NANOS,
                new RequestAttributes(mKind.route(), new WorkspaceId(workspace()), 0, List.of()));
    }

    /** Returns the request as its host places it again, without the engines that had no room. */
    EngineRequest again(EngineRequest asked, Set<BackendServerId> failed) {
        return new EngineRequest(
                asked.host(),
                asked.domain(),
                new RequestId(mId + "~" + mAttempts++),
                asked.service(),
                asked.tokens(),
                asked.promptParts(),
                asked.priority(),
                failed,
                asked.version(),
                asked.targetMillis(),
                asked.arrivedNanos(),
                asked.eventDeadlineNanos(),
                asked.deadlineNanos(),
                asked.attributes());
    }

    /** Records that the caller comes back; returns false if it is past its deadline then. */
    boolean returnAt(long nanos) {
        mReturnDelayNanos = nanos - mArrivedNanos;
        return mReturnDelayNanos < DEADLINE_NANOS;
    }

    /** Records the first event of the stream that answers the last attempt. */
    void recordFirstEvent(long nanos) {
        long waitNanos = nanos - mArrivedNanos - mReturnDelayNanos;
        mInTime = waitNanos <= mKind.targetMillis() * EngineReplay.MILLI;
    }

    long arrivedNanos() {
        return mArrivedNanos;
    }

    int host() {
        return mHost;
    }

    String route() {
        return mKind.route();
    }

    int priority() {
        return mKind.priority();
    }

    String workspace() {
        return "w" + mWorkspace;
    }

    String domain() {
        return "d" + mHost % DOMAINS;
    }

    long promptTokens() {
        return mTokens.promptTokens();
    }

    boolean isInTime() {
        return mInTime;
    }
}
