package org.fuchsiaford.bundle;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ModelId;
import org.fuchsiaford.backend.PoolId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.json.JsonObjectReader;
import org.fuchsiaford.json.JsonProblem;
import org.fuchsiaford.json.JsoncParser;
import org.fuchsiaford.workspace.KeyHash;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * Parses a bundle from JSON with comments and validates it. All problems are reported at once.
 *
 * <p>Stateless, hence thread-safe.
 */
public final class BundleReader {
    private static final long MAX_TOKENS = 1_000_000_000L;
    private static final long MAX_TIMEOUT_MILLIS = 600_000;
    private static final int MAX_HOMES = 64;

    /**
     * Parses and validates a bundle.
     *
     * @param text JSON with comments
     * @return a valid bundle
     * @throws BundleException if the text is not valid; lists every problem
     */
    public Bundle read(String text) throws BundleException {
        List<JsonProblem> problems = new ArrayList<>();
        JsonObjectReader root = new JsonObjectReader(parse(text), "$", problems);
        Bundle bundle = readBundle(root);
        root.reportUnknownFields();
        problems.addAll(new BundleReferenceValidator(bundle).validate());
        if (!problems.isEmpty()) {
            throw new BundleException(Step.READ_BUNDLE, problems);
        }
        return bundle;
    }

    private static JsonNode parse(String text) throws BundleException {
        try {
            return JsoncParser.parse(text);
        } catch (JsonProcessingException e) {
            String reason = "not JSON with comments: " + e.getOriginalMessage();
            throw new BundleException(
                    Step.READ_BUNDLE, List.of(new JsonProblem("$" + location(e), reason)));
        }
    }

    private static String location(JsonProcessingException e) {
        if (e.getLocation() == null) {
            return "";
        }
        return " (line " + e.getLocation().getLineNr() + ")";
    }

    private static Bundle readBundle(JsonObjectReader root) {
        return new Bundle(
                root.number("version", 1, Long.MAX_VALUE),
                root.objects("failureDomains", BundleReader::readFailureDomain),
                root.objects("entrySlots", BundleReader::readEntrySlot),
                root.objects("models", BundleReader::readModel),
                root.objects("backendServers", BundleReader::readBackendServer),
                root.objects("routes", BundleReader::readRoute),
                root.objects("workspaces", BundleReader::readWorkspace));
    }

    private static FailureDomain readFailureDomain(JsonObjectReader object) {
        return new FailureDomain(
                new FailureDomainId(object.name("id")), new RegionId(object.name("region")));
    }

    private static EntrySlot readEntrySlot(JsonObjectReader object) {
        return new EntrySlot(
                new SlotId(object.name("id")), new FailureDomainId(object.name("failureDomain")));
    }

    private static Model readModel(JsonObjectReader object) {
        return new Model(
                new ModelId(object.name("id")),
                object.number("firstTokenTargetMillis", 1, MAX_TIMEOUT_MILLIS),
                object.number("betweenTokensTargetMillis", 1, MAX_TIMEOUT_MILLIS),
                (int) object.number("pieceTokens", 1, 1_000_000, 2_000),
                (int) object.number("maxContextTokens", 1, 10_000_000),
                (int) object.number("kvBytesPerToken", 1, 100_000_000, 100_000),
                (int) object.number("minBytesPerToken", 1, 16, 1));
    }

    private static BackendServer readBackendServer(JsonObjectReader object) {
        BackendKind kind = object.enumConstant("kind", BackendKind.class);
        boolean service = kind == BackendKind.SERVICE;
        boolean decode = kind == BackendKind.DECODE;
        boolean prefill = kind == BackendKind.PREFILL;
        return new BackendServer(
                new BackendServerId(object.name("id")),
                kind,
                new FailureDomainId(object.name("failureDomain")),
                readUrl(object),
                service ? null : new ModelId(object.name("model")),
                service ? null : new PoolId(object.name("pool")),
                service ? new ServiceId(object.name("service")) : null,
                decode ? (int) object.number("seats", 1, 10_000) : 0,
                service ? 0 : (int) object.number("pieces", 1, 10_000_000),
                prefill ? object.number("prefillTokensPerSecond", 1, MAX_TOKENS) : 0,
                service ? 0 : object.number("linkBytesPerSecond", 1, Long.MAX_VALUE),
                object.flag("checksFencing", false));
    }

    private static String readUrl(JsonObjectReader object) {
        String url = object.text("url");
        if (!url.matches("http://[^/\\s:]+:[0-9]{1,5}")) {
            object.addProblem("url", "must be of the form http://address:port");
        }
        return url;
    }

    private static Route readRoute(JsonObjectReader object) {
        String path = object.text("path");
        if (!path.matches("(/[A-Za-z0-9._~-]+)+")) {
            object.addProblem("path", "must be an absolute path without a trailing slash");
        }
        if (path.equals("/v1") || path.startsWith("/v1/")) {
            object.addProblem("path", "must not be under /v1");
        }
        return new Route(
                path,
                object.texts("methods"),
                new ServiceId(object.name("service")),
                object.flag("repeatable", false),
                object.flag("open", false),
                object.number("costTokens", 0, MAX_TOKENS, 1),
                object.number("timeoutMillis", 1, MAX_TIMEOUT_MILLIS, 10_000));
    }

    private static Workspace readWorkspace(JsonObjectReader object) {
        return new Workspace(
                new WorkspaceId(object.name("id")),
                object.number("ratePerSecond", 1, MAX_TOKENS),
                object.number("burstTokens", 1, MAX_TOKENS),
                (int) object.number("homes", 1, MAX_HOMES, 2),
                object.texts("models").stream().map(ModelId::new).toList(),
                object.texts("routes"),
                readKeys(object));
    }

    private static List<KeyHash> readKeys(JsonObjectReader object) {
        List<String> texts = object.texts("keys");
        texts.stream()
                .filter(text -> !KeyHash.isHash(text))
                .forEach(
                        text ->
                                object.addProblem(
                                        "keys", "contains an entry that is not a key hash"));
        return texts.stream().filter(KeyHash::isHash).map(KeyHash::new).toList();
    }
}
