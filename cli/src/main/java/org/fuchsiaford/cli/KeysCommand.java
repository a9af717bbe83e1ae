package org.fuchsiaford.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.fuchsiaford.workspace.KeyHash;

/** Hashes API keys for bundles and generates signing key pairs. */
final class KeysCommand implements Command {
    private OptionSpec<String> mAction;
    private OptionSpec<String> mOut;

    @Override
    public String name() {
        return "keys";
    }

    @Override
    public String summary() {
        return "keys hash: hash the API key on standard input; keys signing: generate a signing key"
                + " pair";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        mAction = parser.nonOptions("hash or signing");
        mOut = parser.accepts("out", "output file for the private signing key").withRequiredArg();
    }

    @Override
    public void run(OptionSet options, Output output) throws CommandException {
        switch (options.valuesOf(mAction).stream().findFirst().orElse("")) {
            case "hash" -> hash(output);
            case "signing" -> generateSigningKeys(options, output);
            default ->
                    throw new CommandException(ExitCode.USAGE, "usage: keys hash or keys signing");
        }
    }

    private static void hash(Output output) throws CommandException {
        String hash = KeyHash.of(readLine().trim()).value();
        output.print(hash, Output.newObject().put("hash", hash));
    }

    private static String readLine() throws CommandException {
        try {
            String line =
                    new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))
                            .readLine();
            if (line == null || line.isBlank()) {
                throw new CommandException(ExitCode.USAGE, "no key on standard input");
            }
            return line;
        } catch (IOException e) {
            throw new CommandException(ExitCode.FAILED, "cannot read standard input");
        }
    }

    private void generateSigningKeys(OptionSet options, Output output) throws CommandException {
        if (!options.has(mOut)) {
            throw new CommandException(ExitCode.USAGE, "keys signing requires --out");
        }
        try {
            KeyPair pair = KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
            Base64.Encoder encoder = Base64.getEncoder();
            TextFiles.write(
                    options.valueOf(mOut),
                    encoder.encodeToString(pair.getPrivate().getEncoded()) + "\n");
            String publicKey = encoder.encodeToString(pair.getPublic().getEncoded());
            output.print(publicKey, Output.newObject().put("publicKey", publicKey));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java runtime does not support Ed25519", e);
        }
    }
}
