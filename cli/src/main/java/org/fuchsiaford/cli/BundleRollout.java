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
 * Swaps the head to a signed bundle and follows its acceptance. What it reports is what the store
 * shows, also when a reply was lost. Not thread-safe.
 */
final class BundleRollout {
    private static final long POLL_MILLIS = 100;
    private static final int FOLLOW_POLLS = 300;

    private final BlockingStore mStore;
    private final Output mOutput;

    BundleRollout(BlockingStore store, Output output) {
        mStore = store;
        mOutput = output;
    }

    /** Swaps the head; only over an accepted one, so that at most one generation is under way. */
    BundleHead swapHead(SignedBundle bundle) throws CommandException, StoreException {
        BlockingStore.VersionedHead read = mStore.readHead();
        Optional<BundleHead> present = read.head();
        if (present.filter(head -> !head.accepted()).isPresent()) {
            throw new CommandException(
                    ExitCode.NOT_ACCEPTED,
                    "generation "
                            + present.get().generation().number()
                            + " (version "
                            + present.get().bundleVersion()
                            + ") is not accepted yet; try again when it is");
        }
        BundleHead next = next(present, bundle);
        RecordStore.SwapResult swap = mStore.swap(StoreKeys.HEAD, read.revision(), next);
        if (swap == RecordStore.SwapResult.SWAPPED) {
            return next;
        }
        BundleHead winner = mStore.readHead().head().orElseThrow();
        // Hosts may have marked the very head that this command swapped in.
        if (winner.asAccepted().equals(next.asAccepted())) {
            return next;
        }
        throw new CommandException(
                ExitCode.LOST_RACE,
                "another roll came first: version " + winner.bundleVersion() + " is in force");
    }

    private static BundleHead next(Optional<BundleHead> present, SignedBundle bundle) {
        return present.map(
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

    /** Waits until hosts have the head accepted, and shows who has it. */
    void awaitAcceptance(BundleHead head) throws CommandException, StoreException {
        report("swapped", head);
        Set<SlotId> shown = new HashSet<>();
        for (int i = 0; i < FOLLOW_POLLS; i++) {
            BundleHead present = mStore.readHead().head().orElseThrow();
            boolean passed = head.generation().isBefore(present.generation());
            if (passed || (present.generation().equals(head.generation()) && present.accepted())) {
                showHosts(head, shown, true);
                report("accepted", head);
                return;
            }
            showHosts(head, shown, false);
            sleep();
        }
        showHosts(head, shown, true);
        throw new CommandException(
                ExitCode.NOT_ACCEPTED,
                "generation " + head.generation().number() + " is swapped but not yet accepted");
    }

    /** Shows each host once it serves the head; at the end also those that do not. */
    private void showHosts(BundleHead head, Set<SlotId> shown, boolean end) throws StoreException {
        for (SlotRecord slot : mStore.readSlots()) {
            if (slot.isOccupied() && !shown.contains(slot.slot())) {
                HostStatus status = HostStatus.read(slot);
                if (end || status.servesGeneration(head.generation())) {
                    shown.add(slot.slot());
                    mOutput.print(status.summary(), status.toJson());
                }
            }
        }
    }

    private void report(String what, BundleHead head) {
        mOutput.print(
                "generation "
                        + head.generation().number()
                        + " (version "
                        + head.bundleVersion()
                        + ") "
                        + what,
                Output.newObject()
                        .put("generation", head.generation().number())
                        .put("version", head.bundleVersion())
                        .put("state", what));
    }

    private static void sleep() throws CommandException {
        try {
            Thread.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.FAILED, "interrupted");
        }
    }
}
