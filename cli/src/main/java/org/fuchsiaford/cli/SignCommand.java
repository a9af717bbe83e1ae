package org.fuchsiaford.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.fuchsiaford.bundle.Bundle;
import org.fuchsiaford.bundle.BundleChunkCodec;
import org.fuchsiaford.bundle.BundleException;
import org.fuchsiaford.bundle.BundleSignature;

/** Checks and signs a bundle. */
final class SignCommand implements Command {
    private OptionSpec<String> mBundle;
    private OptionSpec<String> mKey;
    private OptionSpec<String> mOut;

    @Override
    public String name() {
        return "sign";
    }

    @Override
    public String summary() {
        return "check and sign a bundle";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        mBundle = parser.accepts("bundle", "bundle file").withRequiredArg().required();
        mKey = parser.accepts("key", "private signing key file").withRequiredArg().required();
        mOut = parser.accepts("out", "signature file to write").withRequiredArg().required();
    }

    @Override
    public void run(OptionSet options, Output output) throws CommandException {
        Bundle bundle = BundleFiles.read(options.valueOf(mBundle));
        BundleChunkCodec.SplitBundle split = new BundleChunkCodec().split(bundle);
        try {
            String signature =
                    BundleSignature.sign(
                            TextFiles.read(options.valueOf(mKey)),
                            bundle.version(),
                            split.manifest());
            TextFiles.write(options.valueOf(mOut), signature + "\n");
        } catch (BundleException e) {
            throw new CommandException(ExitCode.INVALID, e.getMessage());
        }
        ObjectNode object = Output.newObject().put("version", bundle.version());
        output.print(
                "signed version " + bundle.version() + " into " + options.valueOf(mOut),
                object.put("manifest", split.manifest().value()));
    }
}
