package org.fuchsiaford.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.fuchsiaford.bundle.BundleHead;
import org.fuchsiaford.host.SlotRecord;
import org.fuchsiaford.store.StoreException;

/** Shows the bundle in force, the hosts and their metrics. */
final class StatusCommand implements Command {
    private StoreOption mStore;

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String summary() {
        return "show the bundle in force, the hosts and their metrics";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        mStore = new StoreOption(parser);
    }

    @Override
    public void run(OptionSet options, Output output) throws CommandException {
        BlockingStore store = mStore.openStore(options);
        try {
            showHead(store, output);
            for (SlotRecord slot : store.readSlots()) {
                if (slot.isOccupied()) {
                    showHost(HostStatus.read(slot), output);
                }
            }
        } catch (StoreException e) {
            throw new CommandException(ExitCode.UNKNOWN, e.getMessage());
        }
    }

    private static void showHead(BlockingStore store, Output output) throws StoreException {
        Optional<BundleHead> head = store.readHead().head();
        if (head.isEmpty()) {
            output.print("no bundle yet", Output.newObject().putNull("generation"));
            return;
        }
        BundleHead present = head.get();
        ObjectNode object = Output.newObject().put("generation", present.generation().number());
        object.put("version", present.bundleVersion()).put("accepted", present.accepted());
        output.print(
                String.format(
                        "generation %d, bundle version %d, %s",
                        present.generation().number(),
                        present.bundleVersion(),
                        present.accepted() ? "accepted" : "not yet accepted"),
                object);
    }

    private static void showHost(HostStatus status, Output output) {
        output.print(
                (status.summary() + "\n" + status.workspaceTable()).stripTrailing(),
                status.toJson());
    }
}
