package org.fuchsiaford.cli;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.fuchsiaford.bundle.BundleHead;
import org.fuchsiaford.bundle.Generation;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.host.SlotRecord;
import org.fuchsiaford.store.RecordStore;
import org.fuchsiaford.store.StoreException;
import org.fuchsiaford.store.StoreKeys;

/**
 * Points the bundle head to a signed bundle and waits until it is accepted. The reported outcome is
 * the state of the store, even if a response of the store was lost. Not thread-safe.
 */
final class BundleRollout {
    private static final long POLL_INTERVAL_MILLIS = 100;
    private static final int MAX_POLLS = 300;

    private final BlockingStore mStore;
    private final Output mOutput;

    BundleRollout(BlockingStore store, Output output) {
        mStore = store;
        mOutput = output;
    }

    /**
     * Points the head to a bundle. Only an accepted head is replaced, so that at most one
     * generation is being rolled out at a time.
     *
     * @throws CommandException if the current head is not accepted or another rollout replaced it
     */
    BundleHead swapHead(SignedBundle bundle) throws CommandException, StoreException {
        BlockingStore.VersionedHead read = mStore.readHead();
        Optional<BundleHead> current = read.head();
        if (current.filter(head -> !head.accepted()).isPresent()) {
            throw new CommandException(
                    ExitCode.NOT_ACCEPTED,
                    "generation "
                            + current.get().generation().number()
                            + " (version "
                            + current.get().bundleVersion()
                            + ") is not yet accepted; try again once it is accepted");
        }
        BundleHead next = nextHead(current, bundle);
        RecordStore.SwapResult result =
                mStore.compareAndSwap(StoreKeys.HEAD, read.revision(), next);
        if (result == RecordStore.SwapResult.SWAPPED) {
            return next;
        }
        BundleHead stored = mStore.readHead().head().orElseThrow();
        // Hosts may already have marked the head written by this command as accepted.
        if (stored.asAccepted().equals(next.asAccepted())) {
            return next;
        }
        throw new CommandException(
                ExitCode.LOST_RACE,
                "another rollout came first: version " + stored.bundleVersion() + " is active");
    }

    private static BundleHead nextHead(Optional<BundleHead> current, SignedBundle bundle) {
        return current.map(
                        head -> head.next(bundle.version(), bundle.manifest(), bundle.signature()))
                .orElseGet(
                        () ->
                                new BundleHead(
                                        Generation.NONE.next(),
                                        bundle.version(),
                                        bundle.manifest(),
                                        bundle.signature(),
                                        null,
                                        false));
    }

    /**
     * Waits until the head is accepted and prints each host that serves it.
     *
     * @throws CommandException if the head is not accepted within the time limit
     */
    void awaitAcceptance(BundleHead head) throws CommandException, StoreException {
        report("swapped", head);
        Set<SlotId> printed = new HashSet<>();
        for (int i = 0; i < MAX_POLLS; i++) {
            BundleHead current = mStore.readHead().head().orElseThrow();
            // Only an accepted head is replaced, so a later generation implies acceptance.
            boolean superseded = head.generation().isBefore(current.generation());
            if (superseded
                    || (current.generation().equals(head.generation()) && current.accepted())) {
                printHosts(head, printed, true);
                report("accepted", head);
                return;
            }
            printHosts(head, printed, false);
            sleep();
        }
        printHosts(head, printed, true);
        throw new CommandException(
                ExitCode.NOT_ACCEPTED,
                "generation " + head.generation().number() + " is swapped but not yet accepted");
    }

    /** Prints each host once when it serves the head, or all remaining hosts. */
    private void printHosts(BundleHead head, Set<SlotId> printed, boolean printAll)
            throws StoreException {
        for (SlotRecord slot : mStore.readSlots()) {
            if (slot.isOccupied() && !printed.contains(slot.slot())) {
                HostStatus status = HostStatus.read(slot);
                if (printAll || status.servesGeneration(head.generation())) {
                    printed.add(slot.slot());
                    mOutput.print(status.summary(), status.toJson());
                }
            }
        }
    }

    private void report(String state, BundleHead head) {
        mOutput.print(
                "generation "
                        + head.generation().number()
                        + " (version "
                        + head.bundleVersion()
                        + ") "
                        + state,
                Output.newObject()
                        .put("generation", head.generation().number())
                        .put("version", head.bundleVersion())
                        .put("state", state));
    }

    private static void sleep() throws CommandException {
        try {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.FAILED, "interrupted");
        }
    }
}
