package org.fuchsiaford.fairness;

import java.util.Optional;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * What a request asks for, and on whose account. Immutable.
 *
 * @param kind its kind
 * @param workspace its workspace, if it has one
 * @param weight the positive weight of the workspace relative to others
 * @param domain the failure domain of the host that serves the caller
 * @param tokens its size
 */
public record Claim(
        Kind kind,
        Optional<WorkspaceId> workspace,
        double weight,
        FailureDomainId domain,
        long tokens) {
    /** Returns the class of its size; the sizes in a class differ at most by a factor of two. */
    int sizeClass() {
        return Long.SIZE - Long.numberOfLeadingZeros(tokens);
    }
}
