package org.fuchsiaford.bundle;

import java.util.List;
import java.util.stream.Collectors;
import org.fuchsiaford.failure.FuchsiafordException;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.json.JsonProblem;

/** A bundle that is not accepted, with every mistake in it. Immutable. */
public final class BundleException extends FuchsiafordException {
    private static final long serialVersionUID = 1L;

    private final transient List<JsonProblem> mProblems;

    /** Creates an error that lists the mistakes of a bundle; the list is not empty. */
    public BundleException(Step step, List<JsonProblem> problems) {
        super(
                step,
                RemoteName.SELF,
                problems.stream().map(JsonProblem::toString).collect(Collectors.joining("; ")));
        mProblems = List.copyOf(problems);
    }

    /** Returns the mistakes in the order of the document. */
    public List<JsonProblem> problems() {
        return mProblems;
    }
}
