package org.fuchsiaford.entry.limit;

import java.util.List;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.workspace.GrantId;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * The tokens that a request was admitted with. Immutable.
 *
 * @param workspace who pays
 * @param parts where the tokens came from
 */
public record Charge(WorkspaceId workspace, List<Part> parts) {
    /**
     * Tokens from one home slot.
     *
     * @param home the home slot that gave them
     * @param grant the grant
     * @param tokens how many
     */
    public record Part(SlotId home, GrantId grant, long tokens) {}

    /** Returns the tokens of all parts. */
    public long tokens() {
        return parts.stream().mapToLong(Part::tokens).sum();
    }
}
