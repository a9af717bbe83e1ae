package org.fuchsiaford.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.fuchsiaford.failure.RunState;

/** The life cycle of a request under generated sequences of steps. */
class RequestLifecycleTest {
    /** What may happen to a request. */
    enum Happening {
        PLACE,
        SEND,
        FAIL,
        ANSWER
    }

    @Property(seed = "5", tries = 1_000)
    void nonRepeatableIsSentOnceAndNotRunIsTrue(@ForAll @Size(max = 20) List<Happening> steps) {
        RequestLifecycle life = new RequestLifecycle(false, 1_000, 10);
        life.admit();
        int sent = 0;
        int answered = 0;
        for (Happening step : steps) {
            switch (step) {
                case PLACE -> place(life);
                case SEND -> sent += send(life);
                case FAIL -> life.retry(0);
                case ANSWER -> answered += life.tryAnswer() ? 1 : 0;
                default -> throw new IllegalStateException();
            }
        }
        assertThat(sent).isLessThanOrEqualTo(1);
        assertThat(answered).isLessThanOrEqualTo(1);
        assertThat(life.runState()).isEqualTo(sent == 0 ? RunState.NOT_RUN : RunState.UNKNOWN);
    }

    private static void place(RequestLifecycle life) {
        if (life.state() == RequestState.ADMITTED) {
            life.place();
        }
    }

    private static int send(RequestLifecycle life) {
        if (life.state() != RequestState.PLACED) {
            return 0;
        }
        life.send();
        return 1;
    }

    @Example
    void repeatableIsTriedUntilAttemptsOrTimeRunOut() {
        RequestLifecycle life = new RequestLifecycle(true, 1_000, 2);
        life.admit();
        life.place();
        life.send();
        assertThat(life.retry(0)).isTrue();
        life.place();
        assertThat(life.retry(0)).as("attempts are used up").isFalse();
        RequestLifecycle late = new RequestLifecycle(true, 1_000, 2);
        late.admit();
        late.place();
        assertThat(late.retry(1_000)).as("time is over").isFalse();
    }

    @Example
    void tokensPassOnceInOrderWithoutGap() {
        OutputProgress progress = new OutputProgress();
        assertThat(progress.accept(0, 2)).isEqualTo(OutputProgress.Action.FORWARD);
        assertThat(progress.accept(1, 2)).isEqualTo(OutputProgress.Action.DUPLICATE);
        assertThat(progress.accept(1, 3)).isEqualTo(OutputProgress.Action.GAP);
        assertThat(progress.accept(3, 4)).isEqualTo(OutputProgress.Action.GAP);
        assertThat(progress.accept(2, 3)).isEqualTo(OutputProgress.Action.FORWARD);
        assertThat(progress.delivered()).isEqualTo(3);
    }
}
