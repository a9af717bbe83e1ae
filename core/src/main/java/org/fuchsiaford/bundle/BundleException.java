package org.fuchsiaford.bundle;

import java.util.List;
import java.util.stream.Collectors;
import org.fuchsiaford.failure.FuchsiafordException;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.json.JsonProblem;

/** Thrown when a bundle is rejected; carries every problem found. Immutable. */
public final class BundleException extends FuchsiafordException {
    private static final long serialVersionUID = 1L;

    private final transient List<JsonProblem> mProblems;

    /** Creates an exception for a non-empty list of problems. */
    public BundleException(Step step, List<JsonProblem> problems) {
        super(
                step,
                RemoteName.SELF,
                problems.stream().map(JsonProblem::toString).collect(Collectors.joining("; ")));
        mProblems = List.copyOf(problems);
    }

    /** Returns the problems in the order in which they were found. */
    public List<JsonProblem> problems() {
        return mProblems;
    }
}
