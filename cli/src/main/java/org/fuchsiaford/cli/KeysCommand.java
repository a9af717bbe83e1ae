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

/** Hashes callers' keys for bundles, and makes the operators' signing keys. */
final class KeysCommand implements Command {
    private OptionSpec<String> mAction;
    private OptionSpec<String> mOut;

    @Override
    public String name() {
        return "keys";
    }

    @Override
    public String summary() {
        return "keys hash: hash the key on standard input; keys signing: make a signing key pair";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        mAction = parser.nonOptions("hash or signing");
        mOut = parser.accepts("out", "file for the private signing key").withRequiredArg();
    }

    @Override
    public void run(OptionSet options, Output output) throws CommandException {
        switch (options.valuesOf(mAction).stream().findFirst().orElse("")) {
            case "hash" -> hash(output);
            case "signing" -> makeSigningKeys(options, output);
            default -> throw new CommandException(ExitCode.USAGE, "keys hash or keys signing");
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

    private void makeSigningKeys(OptionSet options, Output output) throws CommandException {
        if (!options.has(mOut)) {
            throw new CommandException(ExitCode.USAGE, "keys signing needs --out");
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
            throw new IllegalStateException("Ed25519 is missing from the runtime", e);
        }
    }
}
