package org.fuchsiaford.prompt;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.Set;

/**
 * Parts of a prompt that crash engines. Requests whose prompts contain all of them are refused.
 * Immutable.
 *
 * @param parts the parts; more than one if the crashes do not show which of them is the cause
 * @param strikes how often requests with them have been admitted again and crashed an engine
 * @param remainingMillis the time until one request is admitted again, in milliseconds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"parts", "strikes", "remainingMillis"})
public record QuarantinedPrompt(Set<PromptPartId> parts, int strikes, long remainingMillis) {}
