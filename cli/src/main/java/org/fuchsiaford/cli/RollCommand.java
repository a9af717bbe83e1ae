package org.fuchsiaford.cli;

import java.util.Arrays;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.fuchsiaford.bundle.Bundle;
import org.fuchsiaford.bundle.BundleChunk;
import org.fuchsiaford.bundle.BundleChunkCodec;
import org.fuchsiaford.store.RecordStore;
import org.fuchsiaford.store.StoreEntry;
import org.fuchsiaford.store.StoreException;
import org.fuchsiaford.store.StoreKeys;

/** Rolls out a signed bundle. */
final class RollCommand implements Command {
    private OptionSpec<String> mBundle;
    private OptionSpec<String> mSignature;
    private StoreOption mStore;

    @Override
    public String name() {
        return "roll";
    }

    @Override
    public String summary() {
        return "roll out a signed bundle and wait until it is accepted";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        mBundle = parser.accepts("bundle", "bundle file").withRequiredArg().required();
        mSignature = parser.accepts("signature", "signature file").withRequiredArg().required();
        mStore = new StoreOption(parser);
    }

    @Override
    public void run(OptionSet options, Output output) throws CommandException {
        Bundle bundle = BundleFiles.read(options.valueOf(mBundle));
        String signature = TextFiles.read(options.valueOf(mSignature)).trim();
        BundleChunkCodec.SplitBundle split = new BundleChunkCodec().split(bundle);
        BlockingStore store = mStore.openStore(options);
        SignedBundle signed = new SignedBundle(bundle.version(), split.manifest(), signature);
        try {
            uploadChunks(store, split);
            recordVersion(store, signed);
            BundleRollout rollout = new BundleRollout(store, output);
            rollout.awaitAcceptance(rollout.swapHead(signed));
        } catch (StoreException e) {
            throw new CommandException(ExitCode.UNKNOWN, e.getMessage());
        }
    }

    private static void uploadChunks(BlockingStore store, BundleChunkCodec.SplitBundle split)
            throws StoreException {
        for (BundleChunk chunk : split.chunks()) {
            store.putIfAbsent(StoreKeys.bundleChunk(chunk.digest()), chunk.bytes());
        }
    }

    /**
     * Stores the signed bundle under its version. A version number must never be reused for another
     * bundle, since a rollback to it would otherwise restore the wrong one.
     */
    private static void recordVersion(BlockingStore store, SignedBundle signed)
            throws CommandException, StoreException {
        byte[] value = RecordStore.encode(signed);
        store.putIfAbsent(StoreKeys.bundle(signed.version()), value);
        Optional<StoreEntry> stored = store.read(StoreKeys.bundle(signed.version()));
        if (stored.filter(entry -> Arrays.equals(entry.value(), value)).isEmpty()) {
            throw new CommandException(
                    ExitCode.INVALID,
                    "version "
                            + signed.version()
                            + " was already rolled out with different content or another signature;"
                            + " use a higher version number");
        }
    }
}
