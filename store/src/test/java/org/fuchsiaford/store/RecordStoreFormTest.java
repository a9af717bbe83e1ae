package org.fuchsiaford.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.bundle.BundleHead;
import org.fuchsiaford.bundle.Digest;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.bundle.Generation;
import org.fuchsiaford.fleet.HostRecord;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.host.HostProcess;
import org.fuchsiaford.host.Incarnation;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.host.SlotRecord;
import org.fuchsiaford.request.IdempotencyRecord;
import org.fuchsiaford.store.hostlist.ListedHost;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * Holds the stored form of each record. Records outlive the release that wrote them, so a renamed
 * field or enum value would leave them unreadable.
 */
class RecordStoreFormTest {
    private static final JsonMapper JSON = new JsonMapper();
    private static final String DIGEST_A = "a".repeat(64);
    private static final String DIGEST_B = "b".repeat(64);

    private record Form(String json, Object value) {}

    private final List<Form> mForms = new ArrayList<>();

    RecordStoreFormTest() {
        addHeads();
        addSlots();
        addRequests();
        add(
                "['h1','f1','c:2','p:1',1.5]",
                new HostRecord(new HostId("h1"), new FailureDomainId("f1"), "c:2", "p:1", 1.5));
        add("[null,null,null,null,0.0]", new HostRecord(null, null, null, null, 0));
    }

    private void addHeads() {
        var generation = new Generation(3);
        var manifest = new Digest(DIGEST_A);
        var json =
                "{'generation':3,'bundleVersion':12,'manifest':'%s','signature':'sig',"
                        .formatted(DIGEST_A);
        add(
                json + "'previousManifest':'" + DIGEST_B + "','accepted':true}",
                new BundleHead(generation, 12, manifest, "sig", new Digest(DIGEST_B), true));
        add(
                json + "'previousManifest':null,'accepted':false}",
                new BundleHead(generation, 12, manifest, "sig", null, false));
    }

    private void addSlots() {
        var slot = new SlotId("s1");
        var second = new Incarnation(2);
        var host = new HostId("h1");
        var former = new HostProcess(new HostId("h0"), "p:0");
        var json =
                "{'slot':'s1','incarnation':2,'host':'h1','peerAddress':'p:1',"
                        + "'callerAddress':'c:2','adminAddress':'a:3',";
        add(
                json
                        + "'state':'CLAIMED','former':{'host':'h0','peerAddress':'p:0'},"
                        + "'occupied':true}",
                new SlotRecord(
                        slot, second, host, "p:1", "c:2", "a:3", SlotRecord.State.CLAIMED, former));
        add(
                json + "'state':'HELD','former':null,'occupied':true}",
                new SlotRecord(
                        slot, second, host, "p:1", "c:2", "a:3", SlotRecord.State.HELD, null));
        add(
                "{'slot':null,'incarnation':null,'host':null,'peerAddress':null,"
                        + "'callerAddress':null,'adminAddress':null,'state':'VACANT',"
                        + "'former':null,'occupied':false}",
                new SlotRecord(null, null, null, null, null, null, SlotRecord.State.VACANT, null));
    }

    private void addRequests() {
        var request = new Digest(DIGEST_A);
        var json = "{'claim':'c1','request':'%s',".formatted(DIGEST_A);
        add(
                json + "'state':'CLAIMED','status':0,'contentType':null,'body':null}",
                new IdempotencyRecord(
                        "c1", request, IdempotencyRecord.State.CLAIMED, 0, null, null));
        add(
                json + "'state':'ANSWERED','status':200,'contentType':'text/plain','body':'AQ=='}",
                new IdempotencyRecord(
                        "c1",
                        request,
                        IdempotencyRecord.State.ANSWERED,
                        200,
                        "text/plain",
                        "AQ=="));
    }

    private void add(String json, Object value) {
        mForms.add(new Form(json.replace('\'', '"'), value));
    }

    @Example
    void eachRecordIsWrittenInItsStoredForm() {
        for (Form form : mForms) {
            assertThat(new String(RecordStore.encode(form.value), StandardCharsets.UTF_8))
                    .isEqualTo(form.json);
        }
    }

    @Example
    void eachStoredFormIsReadAsItsRecord() throws StoreException {
        for (Form form : mForms) {
            var bytes = form.json.getBytes(StandardCharsets.UTF_8);
            Object read = RecordStore.decode(bytes, form.value.getClass());
            assertThat(read).isEqualTo(form.value);
        }
    }

    @Example
    void anUnknownFieldIsIgnored() throws StoreException {
        var bytes = "{\"host\":\"h1\",\"peerAddress\":\"p:1\",\"new\":1}";
        assertThat(RecordStore.decode(bytes.getBytes(StandardCharsets.UTF_8), HostProcess.class))
                .isEqualTo(new HostProcess(new HostId("h1"), "p:1"));
    }

    @Example
    void enumValuesKeepTheirNames() {
        assertThat(written(SlotRecord.State.values()))
                .containsExactly("CLAIMED", "HELD", "LEAVING", "VACANT");
        assertThat(written(IdempotencyRecord.State.values()))
                .containsExactly("CLAIMED", "NOT_RUN", "ANSWERED");
        assertThat(written(ListedHost.State.values())).containsExactly("LIVE", "LEAVING");
    }

    @Example
    void keysKeepTheirPlaces() {
        var slot = new SlotId("s1");
        assertThat(
                        Stream.of(
                                StoreKeys.HEAD,
                                StoreKeys.SLOT_PREFIX,
                                StoreKeys.LIVENESS_PREFIX,
                                StoreKeys.HOST_PREFIX,
                                StoreKeys.ORDER_HOLDER,
                                StoreKeys.bundleChunk(new Digest(DIGEST_A)),
                                StoreKeys.bundle(12),
                                StoreKeys.slot(slot),
                                StoreKeys.liveness(slot),
                                StoreKeys.idempotency(new WorkspaceId("w1"), new Digest(DIGEST_B)),
                                StoreKeys.order(new BackendServerId("e1"))))
                .extracting(StoreKey::value)
                .containsExactly(
                        "/fuchsiaford/head",
                        "/fuchsiaford/slots/",
                        "/fuchsiaford/live/",
                        "/fuchsiaford/hosts/",
                        "/fuchsiaford/order-holder",
                        "/fuchsiaford/pieces/" + DIGEST_A,
                        "/fuchsiaford/bundles/12",
                        "/fuchsiaford/slots/s1",
                        "/fuchsiaford/live/s1",
                        "/fuchsiaford/idempotency/w1/" + DIGEST_B,
                        "/fuchsiaford/orders/e1");
    }

    private static Stream<String> written(Object[] values) {
        return Arrays.stream(values).map(value -> JSON.valueToTree(value).asText());
    }
}
