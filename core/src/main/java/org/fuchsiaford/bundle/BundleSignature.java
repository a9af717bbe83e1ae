package org.fuchsiaford.bundle;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.spec.PKCS8EncodedKeySpec;
import java.security.spec.X509EncodedKeySpec;
import java.util.Base64;
import java.util.List;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.json.JsonProblem;

/**
 * Creates and verifies Ed25519 signatures of bundles. The signed payload consists of the bundle
 * version and the digest of the manifest, which covers every byte of the bundle.
 *
 * <p>Stateless, hence thread-safe.
 */
public final class BundleSignature {
    private static final String ALGORITHM = "Ed25519";

    private BundleSignature() {}

    /**
     * Signs a bundle.
     *
     * @param privateKey the operators' private key, PKCS#8 in Base64
     * @return the signature in Base64
     * @throws BundleException if the key is not a valid Ed25519 private key
     */
    public static String sign(String privateKey, long version, Digest manifest)
            throws BundleException {
        try {
            byte[] encoded = Base64.getDecoder().decode(privateKey.trim());
            PrivateKey key =
                    KeyFactory.getInstance(ALGORITHM)
                            .generatePrivate(new PKCS8EncodedKeySpec(encoded));
            Signature signature = Signature.getInstance(ALGORITHM);
            signature.initSign(key);
            signature.update(payload(version, manifest));
            return Base64.getEncoder().encodeToString(signature.sign());
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw failed("invalid Ed25519 private key: " + e.getMessage());
        }
    }

    /**
     * Verifies the signature of a bundle.
     *
     * @param publicKeys the trusted public keys, X.509 in Base64
     * @throws BundleException if the signature matches none of the trusted keys
     */
    public static void verify(
            List<String> publicKeys, long version, Digest manifest, String signature)
            throws BundleException {
        boolean verified =
                publicKeys.stream().anyMatch(key -> matches(key, version, manifest, signature));
        if (!verified) {
            throw failed("the signature of version " + version + " matches no trusted key");
        }
    }

    private static boolean matches(
            String publicKey, long version, Digest manifest, String signature) {
        try {
            byte[] encoded = Base64.getDecoder().decode(publicKey.trim());
            PublicKey key =
                    KeyFactory.getInstance(ALGORITHM)
                            .generatePublic(new X509EncodedKeySpec(encoded));
            Signature verifier = Signature.getInstance(ALGORITHM);
            verifier.initVerify(key);
            verifier.update(payload(version, manifest));
            return verifier.verify(Base64.getDecoder().decode(signature));
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            return false;
        }
    }

    private static byte[] payload(long version, Digest manifest) {
        String text = "fuchsiaford-bundle\n" + version + "\n" + manifest.value() + "\n";
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static BundleException failed(String reason) {
        return new BundleException(Step.VERIFY_SIGNATURE, List.of(new JsonProblem("$", reason)));
    }
}
