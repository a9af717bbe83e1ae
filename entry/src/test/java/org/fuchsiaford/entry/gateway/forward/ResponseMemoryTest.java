package org.fuchsiaford.entry.gateway.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.hostmemory.MemoryAccount;
import org.fuchsiaford.hostmemory.MemoryDirection;
import org.fuchsiaford.time.Ticker;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Guards against responses without end that exhaust the heap, one by one or many at once. */
class ResponseMemoryTest {
    private static final int MAX_RESPONSE_BYTES = 1_000_000;
    private static final int MAX_HELD_BYTES = 4_000_000;
    private static final int PIECE_BYTES = 16;
    private static final RemoteName SERVER = new RemoteName("s");

    private final MemoryAccount mAccount = new MemoryAccount(MAX_HELD_BYTES);
    private final ResponseMemory mMemory =
            new ResponseMemory(MAX_RESPONSE_BYTES, mAccount, Ticker.SYSTEM);

    private static ResponsePart piece(int bytes) {
        return new ResponsePart.Body(new byte[bytes]);
    }

    private Mono<CompleteResponse> collect(Flux<ResponsePart> parts) {
        return mMemory.collect(Step.FORWARD, SERVER, parts);
    }

    @Example
    void anEndlessBodyIsGivenUpAtTheLimit() {
        long[] taken = {0};
        Flux<ResponsePart> endless =
                Flux.<ResponsePart>generate(sink -> sink.next(piece(PIECE_BYTES)))
                        .doOnNext(part -> taken[0]++);
        Throwable failure = catchThrowable(() -> collect(endless).block());
        assertThat(failure).hasCauseInstanceOf(BackendCallException.class);
        assertThat(((BackendCallException) failure.getCause()).outcome())
                .isEqualTo(AttemptOutcome.UNKNOWN);
        assertThat(taken[0]).isEqualTo(MAX_RESPONSE_BYTES / PIECE_BYTES + 1);
    }

    @Example
    void aResponseWithoutHeadIsNoResponse() {
        assertThat(catchThrowable(() -> collect(Flux.empty()).block()))
                .hasCauseInstanceOf(BackendCallException.class);
    }

    /** Responses that are given up or cancelled leave the whole memory to later ones. */
    @Property(tries = 100, seed = "39")
    void manyResponsesShareTheMemoryAndReturnIt(
            @ForAll @Size(min = 1, max = 12)
                    List<@IntRange(min = 1, max = MAX_RESPONSE_BYTES) Integer> sizes) {
        List<Disposable> open = new ArrayList<>();
        int[] kept = {0};
        for (int size : sizes) {
            Flux<ResponsePart> neverComplete = Flux.concat(Mono.just(piece(size)), Flux.never());
            boolean[] failed = {false};
            open.add(collect(neverComplete).subscribe(r -> {}, e -> failed[0] = true));
            kept[0] += failed[0] ? 0 : size;
            assertThat(mAccount.heldBytes(MemoryDirection.RESPONSES))
                    .isBetween((long) kept[0], (long) MAX_HELD_BYTES);
        }
        open.forEach(Disposable::dispose);
        assertThat(mAccount.heldBytes(MemoryDirection.RESPONSES)).isZero();
        Throwable failure =
                catchThrowable(() -> collect(Flux.just(piece(MAX_RESPONSE_BYTES))).block());
        assertThat(failure.getCause()).hasMessageContaining("the response is empty");
    }
}
