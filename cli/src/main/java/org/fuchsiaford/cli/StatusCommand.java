package org.fuchsiaford.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.fuchsiaford.bundle.BundleHead;
import org.fuchsiaford.host.SlotRecord;
import org.fuchsiaford.store.StoreException;

/** Prints the active bundle, the hosts and their metrics. */
final class StatusCommand implements Command {
    private StoreOption mStore;

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String summary() {
        return "print the active bundle, the hosts and their metrics";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        mStore = new StoreOption(parser);
    }

    @Override
    public void run(OptionSet options, Output output) throws CommandException {
        BlockingStore store = mStore.openStore(options);
        try {
            printHead(store, output);
            for (SlotRecord slot : store.readSlots()) {
                if (slot.isOccupied()) {
                    printHost(HostStatus.read(slot), output);
                }
            }
        } catch (StoreException e) {
            throw new CommandException(ExitCode.UNKNOWN, e.getMessage());
        }
    }

    private static void printHead(BlockingStore store, Output output) throws StoreException {
        Optional<BundleHead> stored = store.readHead().head();
        if (stored.isEmpty()) {
            output.print("no bundle yet", Output.newObject().putNull("generation"));
            return;
        }
        BundleHead head = stored.get();
        ObjectNode object = Output.newObject().put("generation", head.generation().number());
        object.put("version", head.bundleVersion()).put("accepted", head.accepted());
        output.print(
                String.format(
                        "generation %d, bundle version %d, %s",
                        head.generation().number(),
                        head.bundleVersion(),
                        head.accepted() ? "accepted" : "not yet accepted"),
                object);
    }

    private static void printHost(HostStatus status, Output output) {
        output.print(
                (status.summary() + "\n" + status.workspaceTable()).stripTrailing(),
                status.toJson());
    }
}
