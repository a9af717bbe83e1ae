package org.fuchsiaford.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.fuchsiaford.failure.RunState;

/** The life cycle of a request under generated sequences of steps. */
class RequestLifeTest {
    /** What may happen to a request. */
    enum Happening {
        PLACE,
        SEND,
        FAIL,
        ANSWER
    }

    @Property(seed = "5", tries = 1_000)
    void nonRepeatableIsSentOnceAndNotRunIsTrue(@ForAll @Size(max = 20) List<Happening> steps) {
        RequestLife life = new RequestLife(false, 1_000, 10);
        life.admit();
        int sent = 0;
        int answered = 0;
        for (Happening step : steps) {
            switch (step) {
                case PLACE -> place(life);
                case SEND -> sent += send(life);
                case FAIL -> life.retry(0);
                case ANSWER -> answered += life.answer() ? 1 : 0;
                default -> throw new IllegalStateException();
            }
        }
        assertThat(sent).isLessThanOrEqualTo(1);
        assertThat(answered).isLessThanOrEqualTo(1);
        assertThat(life.runState()).isEqualTo(sent == 0 ? RunState.NOT_RUN : RunState.UNKNOWN);
    }

    private static void place(RequestLife life) {
        if (life.state() == RequestState.ADMITTED) {
            life.place();
        }
    }

    private static int send(RequestLife life) {
        if (life.state() != RequestState.PLACED) {
            return 0;
        }
        life.send();
        return 1;
    }

    @Example
    void repeatableIsTriedUntilAttemptsOrTimeRunOut() {
        RequestLife life = new RequestLife(true, 1_000, 2);
        life.admit();
        life.place();
        life.send();
        assertThat(life.retry(0)).isTrue();
        life.place();
        assertThat(life.retry(0)).as("attempts are used up").isFalse();
        RequestLife late = new RequestLife(true, 1_000, 2);
        late.admit();
        late.place();
        assertThat(late.retry(1_000)).as("time is over").isFalse();
    }

    @Example
    void tokensPassOnceInOrderWithoutGap() {
        AnswerProgress progress = new AnswerProgress();
        assertThat(progress.accept(0, 2)).isEqualTo(AnswerProgress.Verdict.PASS_ON);
        assertThat(progress.accept(1, 2)).isEqualTo(AnswerProgress.Verdict.DUPLICATE);
        assertThat(progress.accept(1, 3)).isEqualTo(AnswerProgress.Verdict.GAP);
        assertThat(progress.accept(3, 4)).isEqualTo(AnswerProgress.Verdict.GAP);
        assertThat(progress.accept(2, 3)).isEqualTo(AnswerProgress.Verdict.PASS_ON);
        assertThat(progress.delivered()).isEqualTo(3);
    }
}
