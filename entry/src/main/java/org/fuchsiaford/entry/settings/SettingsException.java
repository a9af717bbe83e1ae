package org.fuchsiaford.entry.settings;

import java.util.List;
import java.util.stream.Collectors;
import org.fuchsiaford.failure.FuchsiafordException;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.json.JsonProblem;

/** The settings are invalid. Lists all problems. Immutable. */
public final class SettingsException extends FuchsiafordException {
    private static final long serialVersionUID = 1L;

    private final transient List<JsonProblem> mProblems;

    /** Creates an exception with a non-empty list of problems. */
    public SettingsException(List<JsonProblem> problems) {
        super(
                Step.READ_SETTINGS,
                RemoteName.SELF,
                problems.stream().map(JsonProblem::toString).collect(Collectors.joining("; ")));
        mProblems = List.copyOf(problems);
    }

    /** Returns the problems in the order in which they were found. */
    public List<JsonProblem> problems() {
        return mProblems;
    }
}
