package org.fuchsiaford.entry.settings;

import java.util.List;
import java.util.stream.Collectors;
import org.fuchsiaford.failure.FuchsiafordException;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.json.JsonProblem;

/** Settings that are not usable, with every mistake in them. Immutable. */
public final class SettingsException extends FuchsiafordException {
    private static final long serialVersionUID = 1L;

    private final transient List<JsonProblem> mProblems;

    /** Creates an error that lists the mistakes; the list is not empty. */
    public SettingsException(List<JsonProblem> problems) {
        super(
                Step.READ_SETTINGS,
                RemoteName.SELF,
                problems.stream().map(JsonProblem::toString).collect(Collectors.joining("; ")));
        mProblems = List.copyOf(problems);
    }

    /** Returns the mistakes in the order of the document. */
    public List<JsonProblem> problems() {
        return mProblems;
    }
}
