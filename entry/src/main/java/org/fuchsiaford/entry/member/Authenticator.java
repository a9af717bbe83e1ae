package org.fuchsiaford.entry.member;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.fuchsiaford.bundle.Workspace;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.workspace.KeyHash;

/**
 * Finds out for which workspace a request runs, by the bundle in force now.
 *
 * <p>Invariant: every answer comes from a view whose lease is valid at that moment. Thread-safe.
 */
public final class Authenticator {
    private static final String SCHEME = "Bearer ";

    private final Membership mMembership;

    /**
     * A request's workspace, by one view.
     *
     * @param view the view
     * @param workspace the workspace
     * @param key the hash of the key that proved it
     */
    public record Authenticated(ServingView view, Workspace workspace, KeyHash key) {}

    /** Creates an authenticator. */
    public Authenticator(Membership membership) {
        mMembership = membership;
    }

    /**
     * Authenticates a request by its headers.
     *
     * @throws RefusalException if the key is missing, unknown or withdrawn, or if this host may not
     *     serve
     */
    public Authenticated authenticate(HttpHeaders headers) throws RefusalException {
        String header = headers.get("Authorization");
        if (header == null || !header.startsWith(SCHEME)) {
            throw refusal("no bearer key");
        }
        return authenticate(KeyHash.of(header.substring(SCHEME.length()).trim()));
    }

    /**
     * Authenticates again, right before acting, since the key may have been withdrawn meanwhile.
     *
     * @throws RefusalException as for {@link #authenticate(HttpHeaders)}
     */
    public Authenticated authenticate(KeyHash key) throws RefusalException {
        ServingView view = mMembership.requireServingView();
        Optional<Workspace> workspace = view.index().workspaceOfKey(key);
        if (workspace.isEmpty()) {
            throw refusal("the key is unknown or withdrawn");
        }
        return new Authenticated(view, workspace.get(), key);
    }

    private static RefusalException refusal(String message) {
        return RefusalException.notRun(RefusalReason.UNAUTHENTICATED, Step.AUTHENTICATE, message);
    }
}
