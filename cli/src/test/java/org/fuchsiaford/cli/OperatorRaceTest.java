package org.fuchsiaford.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import net.jqwik.api.Example;
import org.fuchsiaford.bundle.BundleHead;
import org.fuchsiaford.bundle.Digest;
import org.fuchsiaford.standin.store.StoreStandin;
import org.fuchsiaford.store.RecordStore;
import org.fuchsiaford.store.StoreException;
import org.fuchsiaford.store.StoreKeys;
import reactor.netty.DisposableServer;

/** The reported outcome of a rollout matches the state of the store. */
class OperatorRaceTest {
    private static final int ROUNDS = 10;

    private static SignedBundle bundle(long version) {
        return new SignedBundle(version, Digest.of(new byte[] {(byte) version}), "signature");
    }

    private static BundleRollout newRollout(BlockingStore store) {
        return new BundleRollout(
                store, new Output(new PrintStream(new ByteArrayOutputStream()), false));
    }

    private static BlockingStore newClient(DisposableServer server) {
        return new BlockingStore(List.of("http://127.0.0.1:" + server.port()));
    }

    private static void accept(BlockingStore store) throws StoreException {
        BlockingStore.VersionedHead current = store.readHead();
        BundleHead head = current.head().orElseThrow().asAccepted();
        assertThat(store.compareAndSwap(StoreKeys.HEAD, current.revision(), head))
                .isEqualTo(RecordStore.SwapResult.SWAPPED);
    }

    @Example
    void lostResponseIsResolvedByReading() throws CommandException, StoreException {
        StoreStandin standin = new StoreStandin();
        DisposableServer server = standin.start(0);
        try {
            BlockingStore store = newClient(server);
            standin.loseNextWriteReply();
            BundleHead head = newRollout(store).swapHead(bundle(1));
            assertThat(store.readHead().head()).contains(head);
        } finally {
            server.disposeNow();
        }
    }

    @Example
    void headThatIsNotAcceptedIsNotReplaced() throws CommandException, StoreException {
        DisposableServer server = new StoreStandin().start(0);
        try {
            BlockingStore store = newClient(server);
            newRollout(store).swapHead(bundle(1));
            assertThat(tryRollOut(store, 2, new CountDownLatch(0)))
                    .isEqualTo(ExitCode.NOT_ACCEPTED);
            assertThat(store.readHead().head().orElseThrow().bundleVersion()).isEqualTo(1);
        } finally {
            server.disposeNow();
        }
    }

    @Example
    void oneOfTwoConcurrentRolloutsWinsAndTheOtherFails() throws CommandException, StoreException {
        DisposableServer server = new StoreStandin().start(0);
        try {
            BlockingStore store = newClient(server);
            newRollout(store).swapHead(bundle(1));
            for (long round = 1; round <= ROUNDS; round++) {
                accept(store);
                assertOneWinner(server, store, 10 * round);
            }
        } finally {
            server.disposeNow();
        }
    }

    private static void assertOneWinner(DisposableServer server, BlockingStore store, long version)
            throws StoreException {
        CountDownLatch start = new CountDownLatch(1);
        CompletableFuture<ExitCode> first =
                CompletableFuture.supplyAsync(() -> tryRollOut(newClient(server), version, start));
        CompletableFuture<ExitCode> second =
                CompletableFuture.supplyAsync(
                        () -> tryRollOut(newClient(server), version + 1, start));
        start.countDown();
        List<ExitCode> codes = List.of(first.join(), second.join());
        assertThat(codes).containsOnlyOnce(ExitCode.OK);
        assertThat(codes).containsAnyOf(ExitCode.LOST_RACE, ExitCode.NOT_ACCEPTED);
        long winner = codes.get(0) == ExitCode.OK ? version : version + 1;
        assertThat(store.readHead().head().orElseThrow().bundleVersion()).isEqualTo(winner);
    }

    private static ExitCode tryRollOut(BlockingStore store, long version, CountDownLatch start) {
        try {
            start.await();
            newRollout(store).swapHead(bundle(version));
            return ExitCode.OK;
        } catch (CommandException e) {
            return e.exitCode();
        } catch (StoreException | InterruptedException e) {
            throw new CompletionException(e);
        }
    }
}
