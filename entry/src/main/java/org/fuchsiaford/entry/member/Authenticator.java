package org.fuchsiaford.entry.member;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.fuchsiaford.bundle.Workspace;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.workspace.KeyHash;

/**
 * Authenticates requests by their API key against the bundle in force.
 *
 * <p>Invariant: every result comes from a view whose lease is valid at that time. Thread-safe.
 */
public final class Authenticator {
    private static final String SCHEME_PREFIX = "Bearer ";

    private final Membership mMembership;

    /**
     * The workspace that a request is authenticated for.
     *
     * @param view the view that the key was looked up in
     * @param workspace the workspace
     * @param key the hash of the request's API key
     */
    public record Authenticated(ServingView view, Workspace workspace, KeyHash key) {}

    /** Creates an authenticator. */
    public Authenticator(Membership membership) {
        mMembership = membership;
    }

    /**
     * Authenticates a request by its Authorization header.
     *
     * @throws RefusalException if the key is missing, unknown or withdrawn, or if this host may not
     *     serve
     */
    public Authenticated authenticate(HttpHeaders headers) throws RefusalException {
        String header = headers.get("Authorization");
        if (header == null || !header.startsWith(SCHEME_PREFIX)) {
            throw refusal("no bearer key in the Authorization header");
        }
        return authenticate(KeyHash.of(header.substring(SCHEME_PREFIX.length()).trim()));
    }

    /**
     * Authenticates again immediately before a request is acted on, because the key may have been
     * withdrawn in the meantime.
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
