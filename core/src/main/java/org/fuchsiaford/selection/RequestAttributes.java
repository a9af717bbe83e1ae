package org.fuchsiaford.selection;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;
import java.util.Optional;
import org.fuchsiaford.bundle.RegionId;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * What the scheduler needs to know of a model request besides its size and its times. Immutable.
 *
 * @param route the name of its route; null if unknown
 * @param workspace its workspace; null if it has none
 * @param targetGapMillis the longest time between events at which its stream is on time, in
 *     milliseconds; zero if none is declared
 * @param allowedRegions the regions whose engines may serve it; empty if all may
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"route", "workspace", "targetGapMillis", "allowedRegions"})
public record RequestAttributes(
        String route, WorkspaceId workspace, long targetGapMillis, List<RegionId> allowedRegions) {
    /** The attributes of a request of a host that states none, as builds before this one do. */
    public static final RequestAttributes NONE = new RequestAttributes(null, null, 0, List.of());

    /** Creates attributes; absent regions count as none. */
    public RequestAttributes {
        allowedRegions = allowedRegions == null ? List.of() : List.copyOf(allowedRegions);
    }

    /** Returns the workspace, if the request has one. */
    @JsonIgnore
    public Optional<WorkspaceId> findWorkspace() {
        return Optional.ofNullable(workspace);
    }
}
