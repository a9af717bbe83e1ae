package org.fuchsiaford.cli;

import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.fuchsiaford.store.RecordStore;
import org.fuchsiaford.store.StoreEntry;
import org.fuchsiaford.store.StoreException;
import org.fuchsiaford.store.StoreKeys;

/** Rolls out an earlier bundle version again. */
final class RollbackCommand implements Command {
    private OptionSpec<Long> mVersion;
    private StoreOption mStore;

    @Override
    public String name() {
        return "rollback";
    }

    @Override
    public String summary() {
        return "roll out an earlier bundle version again, as a new generation";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        mVersion =
                parser.accepts("to", "bundle version")
                        .withRequiredArg()
                        .ofType(Long.class)
                        .required();
        mStore = new StoreOption(parser);
    }

    @Override
    public void run(OptionSet options, Output output) throws CommandException {
        BlockingStore store = mStore.openStore(options);
        long version = options.valueOf(mVersion);
        try {
            Optional<StoreEntry> entry = store.read(StoreKeys.bundle(version));
            if (entry.isEmpty()) {
                throw new CommandException(
                        ExitCode.INVALID, "version " + version + " has never been rolled out");
            }
            SignedBundle bundle = RecordStore.decode(entry.get().value(), SignedBundle.class);
            BundleRollout rollout = new BundleRollout(store, output);
            rollout.awaitAcceptance(rollout.swapHead(bundle));
        } catch (StoreException e) {
            throw new CommandException(ExitCode.UNKNOWN, e.getMessage());
        }
    }
}
