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
    private StoreOptions mStore;

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String summary() {
        return "show the bundle in force, the hosts and their metrics";
    }

    @Override
    public void declare(OptionParser parser) {
        mStore = new StoreOptions(parser);
    }

    @Override
    public void run(OptionSet options, Output output) throws CommandException {
        StoreAccess store = mStore.open(options);
        try {
            showHead(store, output);
            for (SlotRecord slot : store.slots()) {
                if (slot.isOccupied()) {
                    showHost(HostStatus.read(slot), output);
                }
            }
        } catch (StoreException e) {
            throw new CommandException(ExitCode.UNKNOWN, e.getMessage());
        }
    }

    private static void showHead(StoreAccess store, Output output) throws StoreException {
        Optional<BundleHead> head = store.readHead().head();
        if (head.isEmpty()) {
            output.print("no bundle yet", Output.object().putNull("generation"));
            return;
        }
        BundleHead present = head.get();
        ObjectNode object = Output.object().put("generation", present.generation().number());
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
        output.print((status.line() + "\n" + status.table()).stripTrailing(), status.object());
    }
}
