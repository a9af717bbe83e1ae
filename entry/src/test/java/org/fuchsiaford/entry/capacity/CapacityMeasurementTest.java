package org.fuchsiaford.entry.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ModelId;
import org.fuchsiaford.backend.PoolId;
import org.fuchsiaford.bundle.BackendKind;
import org.fuchsiaford.bundle.BackendServer;
import org.fuchsiaford.bundle.Bundle;
import org.fuchsiaford.bundle.BundleChunk;
import org.fuchsiaford.bundle.BundleChunkCodec;
import org.fuchsiaford.bundle.BundleException;
import org.fuchsiaford.bundle.BundleIndex;
import org.fuchsiaford.bundle.Digest;
import org.fuchsiaford.bundle.EntrySlot;
import org.fuchsiaford.bundle.FailureDomain;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.bundle.Generation;
import org.fuchsiaford.bundle.Model;
import org.fuchsiaford.bundle.RegionId;
import org.fuchsiaford.bundle.Workspace;
import org.fuchsiaford.entry.fleet.StoreCallRate;
import org.fuchsiaford.host.GrantorTable;
import org.fuchsiaford.host.Incarnation;
import org.fuchsiaford.host.LeaseSubject;
import org.fuchsiaford.host.PromiseReply;
import org.fuchsiaford.host.PromiseRequest;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.workspace.GrantId;
import org.fuchsiaford.workspace.HomeBuckets;
import org.fuchsiaford.workspace.KeyHash;
import org.fuchsiaford.workspace.WorkspaceId;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Prints the measurements that docs/CAPACITY.md is derived from. Makes no assertions about time.
 */
class CapacityMeasurementTest {
    private static final int HOSTS = 390;
    private static final int WORKSPACES = 11_000;
    private static final int ENGINES = 1_200;

    private static Bundle bundle(int workspaces, int hosts, int engines) {
        List<FailureDomain> domains =
                IntStream.range(0, 6)
                        .mapToObj(i -> new FailureDomain(domain(i), new RegionId("r" + i / 2)))
                        .toList();
        List<EntrySlot> slots =
                IntStream.range(0, hosts)
                        .mapToObj(i -> new EntrySlot(new SlotId("slot-" + i), domain(i)))
                        .toList();
        Model model = new Model(new ModelId("m"), 340, 27, 2_000, 64_000, 100_000, 4);
        List<BackendServer> servers = IntStream.range(0, engines).mapToObj(i -> engine(i)).toList();
        List<Workspace> all =
                IntStream.range(0, workspaces).mapToObj(i -> workspace(i, 1_000)).toList();
        return new Bundle(1, domains, slots, List.of(model), servers, List.of(), all);
    }

    private static FailureDomainId domain(int index) {
        return new FailureDomainId("domain-" + index % 6);
    }

    private static BackendServer engine(int index) {
        return new BackendServer(
                new BackendServerId("engine-" + index),
                index % 2 == 0 ? BackendKind.PREFILL : BackendKind.DECODE,
                domain(index),
                "http://10.0." + index / 250 + "." + index % 250 + ":8000",
                new ModelId("m"),
                new PoolId("pool-" + index / 16),
                null,
                20,
                64,
                40_000,
                10_000_000_000L,
                true);
    }

    private static Workspace workspace(int index, long rate) {
        return new Workspace(
                new WorkspaceId("workspace-" + index),
                rate,
                10 * rate,
                3,
                List.of(new ModelId("m")),
                List.of(),
                List.of(KeyHash.of("a" + index), KeyHash.of("b" + index)));
    }

    private static long usedBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    @Example
    void bundleChange() throws BundleException {
        BundleChunkCodec codec = new BundleChunkCodec();
        Bundle bundle = bundle(WORKSPACES, HOSTS, ENGINES);
        List<Workspace> changed = new ArrayList<>(bundle.workspaces());
        changed.set(5, workspace(5, 2_000));
        BundleChunkCodec.SplitBundle before = codec.split(bundle);
        BundleChunkCodec.SplitBundle after =
                codec.split(
                        new Bundle(
                                2,
                                bundle.failureDomains(),
                                bundle.entrySlots(),
                                bundle.models(),
                                bundle.backendServers(),
                                bundle.routes(),
                                changed));
        Map<Digest, byte[]> chunks =
                before.chunks().stream()
                        .collect(Collectors.toMap(BundleChunk::digest, BundleChunk::bytes));
        int changedBytes =
                after.chunks().stream()
                        .filter(chunk -> !chunks.containsKey(chunk.digest()))
                        .mapToInt(chunk -> chunk.bytes().length)
                        .sum();
        int totalBytes = before.chunks().stream().mapToInt(chunk -> chunk.bytes().length).sum();
        int largestBytes = before.chunks().stream().mapToInt(p -> p.bytes().length).max().orElse(0);
        long startNanos = System.nanoTime();
        Bundle joined = codec.join(codec.readManifest(chunks.get(before.manifest())), chunks::get);
        BundleIndex index = new BundleIndex(joined);
        long joinNanos = System.nanoTime() - startNanos;
        System.out.printf(
                "CAPACITY bundle: %d bytes in total, largest chunk %d bytes, %d bytes for one"
                        + " changed workspace, join and index %d ms%n",
                totalBytes, largestBytes, changedBytes, joinNanos / 1_000_000);
        assertThat(largestBytes)
                .as("the store limits values to one megabyte")
                .isLessThan(1_000_000);
        assertThat(index.bundle().workspaces()).hasSize(WORKSPACES);
    }

    @Example
    void heap() throws BundleException {
        for (int workspaces : List.of(1_000, 11_000)) {
            long beforeBytes = usedBytes();
            BundleChunkCodec codec = new BundleChunkCodec();
            BundleChunkCodec.SplitBundle split = codec.split(bundle(workspaces, HOSTS, ENGINES));
            Map<Digest, byte[]> chunks =
                    split.chunks().stream()
                            .collect(Collectors.toMap(BundleChunk::digest, BundleChunk::bytes));
            BundleIndex index =
                    new BundleIndex(
                            codec.join(
                                    codec.readManifest(chunks.get(split.manifest())), chunks::get));
            GrantorTable grantors = new GrantorTable(index.bundle().entrySlots());
            HomeBuckets buckets = new HomeBuckets(new SlotId("slot-0"));
            long startNanos = System.nanoTime();
            buckets.apply(index, true, 0);
            long applyNanos = System.nanoTime() - startNanos;
            long repeatStartNanos = System.nanoTime();
            buckets.apply(index.rebuild(index.bundle()), true, 1);
            long repeatNanos = System.nanoTime() - repeatStartNanos;
            long afterBytes = usedBytes();
            System.out.printf(
                    "CAPACITY heap: %d workspaces, %d hosts, %d engines: %.1f MB; limits applied in"
                            + " %d ms, applied again with the same slots in %d ms%n",
                    workspaces,
                    HOSTS,
                    ENGINES,
                    (afterBytes - beforeBytes) / 1e6,
                    applyNanos / 1_000_000,
                    repeatNanos / 1_000_000);
            assertThat(grantors.grantorSets()).hasSize(HOSTS);
            assertThat(chunks).isNotEmpty();
            assertThat(buckets.levelTokens(new WorkspaceId("none"), 0)).isZero();
        }
    }

    @Example
    void messageSizes() throws IOException {
        ObjectMapper mapper = new MessagePackMapper();
        LeaseSubject subject =
                new LeaseSubject(
                        new Generation(123_456), new SlotId("slot-389"), new Incarnation(321));
        print(mapper, "promise", new PeerMessage.RequestPromise(new PromiseRequest(subject)));
        print(
                mapper,
                "promised",
                new PeerMessage.PromiseResponse(
                        new SlotId("slot-12"),
                        new PromiseReply(PromiseReply.Outcome.GRANTED, new Generation(123_456))));
        print(
                mapper,
                "acquire",
                new PeerMessage.AcquireTokens(
                        new WorkspaceId("workspace-10999"),
                        new GrantId("01234567-89ab-cdef-0123-456789abcdef/123456"),
                        5_000));
        print(mapper, "granted", new PeerMessage.TokensResponse(5_000, 100_000));
    }

    private static void print(ObjectMapper mapper, String name, PeerMessage message)
            throws IOException {
        byte[] bytes = mapper.writerFor(PeerMessage.class).writeValueAsBytes(message);
        System.out.printf("CAPACITY message: %s %d bytes%n", name, bytes.length);
    }

    @Example
    void storeCalls() {
        for (int hosts : List.of(6, 12, 24)) {
            double calls = StoreCallRate.callsPerSecond(hosts);
            System.out.printf(
                    "CAPACITY store: %d hosts, %.2f calls per second, %.3f per host%n",
                    hosts, calls, calls / hosts);
        }
    }
}
