package org.fuchsiaford.cli;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.fuchsiaford.bundle.Bundle;

/** Checks a bundle and reports all errors in it. */
final class CheckCommand implements Command {
    private OptionSpec<String> mBundle;

    @Override
    public String name() {
        return "check";
    }

    @Override
    public String summary() {
        return "check a bundle and report all errors in it";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        mBundle = parser.accepts("bundle", "bundle file").withRequiredArg().required();
    }

    @Override
    public void run(OptionSet options, Output output) throws CommandException {
        Bundle bundle = BundleFiles.read(options.valueOf(mBundle));
        output.print(
                "bundle version " + bundle.version() + " is correct",
                Output.newObject().put("version", bundle.version()).put("correct", true));
    }
}
