package org.fuchsiaford.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.fuchsiaford.failure.RunState;

/** Tests the lifecycle of a request with generated sequences of events. */
class RequestLifecycleTest {
    /** An event in the lifecycle of a request. */
    enum LifecycleEvent {
        PLACE,
        SEND,
        FAIL,
        ANSWER
    }

    @Property(seed = "5", tries = 1_000)
    void nonRepeatableIsSentAtMostOnceAndNotRunOnlyIfNeverSent(
            @ForAll @Size(max = 20) List<LifecycleEvent> events) {
        RequestLifecycle lifecycle = new RequestLifecycle(false, 1_000, 10);
        lifecycle.admit();
        int sent = 0;
        int answered = 0;
        for (LifecycleEvent event : events) {
            switch (event) {
                case PLACE -> place(lifecycle);
                case SEND -> sent += send(lifecycle);
                case FAIL -> lifecycle.retry(0);
                case ANSWER -> answered += lifecycle.tryAnswer() ? 1 : 0;
                default -> throw new IllegalStateException();
            }
        }
        assertThat(sent).isLessThanOrEqualTo(1);
        assertThat(answered).isLessThanOrEqualTo(1);
        assertThat(lifecycle.runState()).isEqualTo(sent == 0 ? RunState.NOT_RUN : RunState.UNKNOWN);
    }

    private static void place(RequestLifecycle lifecycle) {
        if (lifecycle.state() == RequestState.ADMITTED) {
            lifecycle.place();
        }
    }

    private static int send(RequestLifecycle lifecycle) {
        if (lifecycle.state() != RequestState.PLACED) {
            return 0;
        }
        lifecycle.send();
        return 1;
    }

    @Example
    void repeatableIsTriedUntilAttemptsOrTimeRunOut() {
        RequestLifecycle lifecycle = new RequestLifecycle(true, 1_000, 2);
        lifecycle.admit();
        lifecycle.place();
        lifecycle.send();
        assertThat(lifecycle.retry(0)).isTrue();
        lifecycle.place();
        assertThat(lifecycle.retry(0)).as("no attempts left").isFalse();
        RequestLifecycle late = new RequestLifecycle(true, 1_000, 2);
        late.admit();
        late.place();
        assertThat(late.retry(1_000)).as("deadline has passed").isFalse();
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
