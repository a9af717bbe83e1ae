package org.fuchsiaford.bundle;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import net.jqwik.api.Example;
import org.fuchsiaford.json.JsonProblem;

/** Tests parsing, validation, splitting and signing of bundles. */
class BundleReaderTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    private static String example(String name) throws IOException {
        return Files.readString(EXAMPLES.resolve(name));
    }

    @Example
    void readsBothExampleBundles() throws IOException, BundleException {
        assertThat(new BundleReader().read(example("magnolia.jsonc")).workspaces()).hasSize(5);
        assertThat(new BundleReader().read(example("quetzal.jsonc")).failureDomains()).hasSize(4);
    }

    @Example
    void namesAllFiveMistakesWithTheirPaths() throws IOException {
        String wrong =
                example("demo.jsonc")
                        .replace("\"version\": 1", "\"version\": 0")
                        .replace("\"firstTokenTargetMillis\": 340", "\"firstTokenTarget\": 340")
                        .replace("\"http://127.0.0.1:9101\"", "\"ftp://127.0.0.1\"")
                        .replace("\"path\": \"/orders\"", "\"path\": \"orders/\"")
                        .replace("\"ratePerSecond\": 10,", "\"ratePerSecond\": -10,");
        BundleException e =
                catchThrowableOfType(BundleException.class, () -> new BundleReader().read(wrong));
        assertThat(e.problems())
                .extracting(JsonProblem::path)
                .contains(
                        "$.version",
                        "$.models[0].firstTokenTarget",
                        "$.models[0].firstTokenTargetMillis",
                        "$.backendServers[0].url",
                        "$.routes[0].path",
                        "$.workspaces[2].ratePerSecond");
    }

    @Example
    void rejectsDuplicateFieldsAndInvalidJson() {
        assertThatThrownBy(() -> new BundleReader().read("{\"version\": 1, \"version\": 2}"))
                .isInstanceOf(BundleException.class);
        assertThatThrownBy(() -> new BundleReader().read("{")).isInstanceOf(BundleException.class);
        assertThatThrownBy(() -> new BundleReader().read("")).isInstanceOf(BundleException.class);
        assertThatThrownBy(() -> new BundleReader().read("[]")).isInstanceOf(BundleException.class);
    }

    @Example
    void chunksJoinToTheSameBundleAndAChangeAffectsTwoChunks() throws IOException, BundleException {
        BundleChunkCodec codec = new BundleChunkCodec();
        Bundle bundle = new BundleReader().read(example("magnolia.jsonc"));
        String changedText =
                example("magnolia.jsonc")
                        .replace("\"ratePerSecond\": 24000", "\"ratePerSecond\": 25000");
        BundleChunkCodec.SplitBundle split = codec.split(bundle);
        BundleChunkCodec.SplitBundle changed = codec.split(new BundleReader().read(changedText));
        Map<Digest, byte[]> chunks =
                split.chunks().stream()
                        .collect(Collectors.toMap(BundleChunk::digest, BundleChunk::bytes));
        Bundle joined = codec.join(codec.readManifest(chunks.get(split.manifest())), chunks::get);
        assertThat(joined.workspaces()).containsExactlyInAnyOrderElementsOf(bundle.workspaces());
        assertThat(joined.backendServers()).isEqualTo(bundle.backendServers());
        assertThat(changed.chunks().stream().filter(chunk -> !chunks.containsKey(chunk.digest())))
                .as("one workspace bucket and the manifest")
                .hasSize(2);
    }

    @Example
    void acceptsOnlyATrustedSignatureOfTheSameBundle()
            throws NoSuchAlgorithmException, BundleException {
        KeyPair keys = KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
        KeyPair untrusted = KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
        Digest manifest = Digest.of(new byte[] {1});
        String signature =
                BundleSignature.sign(encode(keys.getPrivate().getEncoded()), 1, manifest);
        List<String> trusted = List.of(encode(keys.getPublic().getEncoded()));
        BundleSignature.verify(trusted, 1, manifest, signature);
        assertThatThrownBy(() -> BundleSignature.verify(trusted, 2, manifest, signature))
                .isInstanceOf(BundleException.class);
        assertThatThrownBy(
                        () ->
                                BundleSignature.verify(
                                        trusted, 1, Digest.of(new byte[] {2}), signature))
                .isInstanceOf(BundleException.class);
        assertThatThrownBy(
                        () ->
                                BundleSignature.verify(
                                        List.of(encode(untrusted.getPublic().getEncoded())),
                                        1,
                                        manifest,
                                        signature))
                .isInstanceOf(BundleException.class);
    }

    private static String encode(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }
}
