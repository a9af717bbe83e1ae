package org.fuchsiaford.entry.limit;

import java.util.List;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.workspace.GrantId;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * The tokens that a workspace was charged when a request was admitted. Immutable.
 *
 * @param workspace the charged workspace
 * @param parts the tokens by home slot
 */
public record Charge(WorkspaceId workspace, List<Part> parts) {
    /**
     * The tokens granted by one home slot.
     *
     * @param home the home slot
     * @param grant the grant
     * @param tokens the number of tokens
     */
    public record Part(SlotId home, GrantId grant, long tokens) {}

    /** Returns the total number of tokens. */
    public long tokens() {
        return parts.stream().mapToLong(Part::tokens).sum();
    }
}
