package org.fuchsiaford.cli;

import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** The command-line option {@code --store}. Not thread-safe. */
final class StoreOption {
    private final OptionSpec<String> mUrls;

    StoreOption(OptionParser parser) {
        mUrls =
                parser.accepts("store", "addresses of the store, http://ip:port,...")
                        .withRequiredArg()
                        .withValuesSeparatedBy(',')
                        .required();
    }

    /** Returns a client of the store that the option specifies. */
    BlockingStore openStore(OptionSet options) {
        List<String> urls = options.valuesOf(mUrls);
        return new BlockingStore(urls);
    }
}
