package org.fuchsiaford.bundle;

import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.json.JsonProblem;

/**
 * Splits a bundle into content-addressed chunks and reassembles it. Workspaces are distributed over
 * a fixed number of buckets by the hash of their ID, so that a change to one workspace changes only
 * one chunk and the manifest.
 *
 * <p>Invariant: equal bundles produce equal chunks. Stateless, hence thread-safe.
 */
public final class BundleChunkCodec {
    private static final int WORKSPACE_BUCKETS = 128;
    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
                    .disable(SerializationFeature.FAIL_ON_EMPTY_BEANS)
                    .build();

    /** The chunks of one bundle; the manifest comes last. */
    public record SplitBundle(Digest manifest, List<BundleChunk> chunks) {}

    /** The content of the chunk with everything except the workspaces. */
    private record Fleet(
            List<FailureDomain> failureDomains,
            List<EntrySlot> entrySlots,
            List<Model> models,
            List<BackendServer> backendServers,
            List<Route> routes) {}

    /** The content of a chunk with the workspaces of one bucket. */
    private record WorkspaceBucket(List<Workspace> workspaces) {}

    /** Splits a bundle into its chunks, without duplicates. */
    public SplitBundle split(Bundle bundle) {
        BundleChunk fleet = encode(fleetOf(bundle));
        List<BundleChunk> buckets = buckets(bundle).stream().map(BundleChunkCodec::encode).toList();
        BundleChunk manifest =
                encode(
                        new Manifest(
                                bundle.version(),
                                fleet.digest(),
                                buckets.stream().map(BundleChunk::digest).toList()));
        Map<Digest, BundleChunk> chunks = new LinkedHashMap<>();
        chunks.put(fleet.digest(), fleet);
        buckets.forEach(chunk -> chunks.put(chunk.digest(), chunk));
        chunks.put(manifest.digest(), manifest);
        return new SplitBundle(manifest.digest(), List.copyOf(chunks.values()));
    }

    /**
     * Decodes a manifest.
     *
     * @throws BundleException if the bytes are not a valid manifest
     */
    public Manifest readManifest(byte[] bytes) throws BundleException {
        return decode(bytes, Manifest.class);
    }

    /**
     * Reassembles a bundle from the chunks that a manifest lists.
     *
     * @throws BundleException if a chunk is missing or corrupt
     */
    public Bundle join(Manifest manifest, BundleChunkSource source) throws BundleException {
        Fleet fleet = decode(require(source, manifest.fleet()), Fleet.class);
        List<Workspace> workspaces = new ArrayList<>();
        for (Digest digest : manifest.workspaces()) {
            workspaces.addAll(decode(require(source, digest), WorkspaceBucket.class).workspaces());
        }
        return new Bundle(
                manifest.version(),
                fleet.failureDomains(),
                fleet.entrySlots(),
                fleet.models(),
                fleet.backendServers(),
                fleet.routes(),
                List.copyOf(workspaces));
    }

    private static Fleet fleetOf(Bundle bundle) {
        return new Fleet(
                bundle.failureDomains(),
                bundle.entrySlots(),
                bundle.models(),
                bundle.backendServers(),
                bundle.routes());
    }

    private static List<WorkspaceBucket> buckets(Bundle bundle) {
        Function<Workspace, Integer> bucketOf =
                w -> Math.floorMod(w.id().value().hashCode(), WORKSPACE_BUCKETS);
        Map<Integer, List<Workspace>> byBucket =
                bundle.workspaces().stream()
                        .sorted(Comparator.comparing(Workspace::id))
                        .collect(Collectors.groupingBy(bucketOf));
        return IntStream.range(0, WORKSPACE_BUCKETS)
                .mapToObj(bucket -> byBucket.getOrDefault(bucket, List.of()))
                .map(WorkspaceBucket::new)
                .toList();
    }

    private static byte[] require(BundleChunkSource source, Digest digest) throws BundleException {
        byte[] bytes = source.bytes(digest);
        if (bytes == null) {
            throw corrupt("chunk " + digest.value() + " is missing");
        }
        if (!Digest.of(bytes).equals(digest)) {
            throw corrupt("chunk " + digest.value() + " does not match its digest");
        }
        return bytes;
    }

    private static BundleChunk encode(Object value) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(bytes)) {
            MAPPER.writeValue(gzip, value);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot encode a bundle chunk", e);
        }
        return new BundleChunk(Digest.of(bytes.toByteArray()), bytes.toByteArray());
    }

    private static <T> T decode(byte[] bytes, Class<T> type) throws BundleException {
        try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
            return MAPPER.readValue(gzip, type);
        } catch (IOException e) {
            throw corrupt("cannot decode " + type.getSimpleName() + ": " + e.getMessage());
        }
    }

    private static BundleException corrupt(String reason) {
        return new BundleException(Step.READ_BUNDLE, List.of(new JsonProblem("$", reason)));
    }
}
