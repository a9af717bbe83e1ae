package org.fuchsiaford.quota;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * The tokens that a host has admitted for a workspace since it started. Immutable.
 *
 * @param workspace the workspace
 * @param tokens the tokens admitted, less those refunded and those that the receiver granted
 * @param recentTokens the tokens admitted in the last window, whoever granted them
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"workspace", "tokens", "recentTokens"})
public record WorkspaceTotal(WorkspaceId workspace, long tokens, long recentTokens) {}
