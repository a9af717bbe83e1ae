package org.fuchsiaford.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.PoolId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.bundle.BundleHead;
import org.fuchsiaford.bundle.Digest;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.bundle.Generation;
import org.fuchsiaford.bundle.RegionId;
import org.fuchsiaford.fairness.Kind;
import org.fuchsiaford.fleet.FailureRate;
import org.fuchsiaford.fleet.FleetSummary;
import org.fuchsiaford.fleet.HostHeartbeat;
import org.fuchsiaford.fleet.HostRecord;
import org.fuchsiaford.fleet.QueuedWork;
import org.fuchsiaford.fleet.ServerLoad;
import org.fuchsiaford.fleet.ServerOutcomes;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.host.HostProcess;
import org.fuchsiaford.host.Incarnation;
import org.fuchsiaford.host.LeaseSubject;
import org.fuchsiaford.host.PromiseReply;
import org.fuchsiaford.host.PromiseRequest;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.host.SlotRecord;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.placement.PlacementDecision;
import org.fuchsiaford.placement.PlacementEvent;
import org.fuchsiaford.placement.PlacementRequest;
import org.fuchsiaford.prompt.PromptPartId;
import org.fuchsiaford.prompt.QuarantinedPrompt;
import org.fuchsiaford.quota.WorkspaceTotal;
import org.fuchsiaford.registry.ServerRun;
import org.fuchsiaford.registry.SoftwareVersion;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.TokenCounts;
import org.fuchsiaford.routing.TokenQuota;
import org.fuchsiaford.selection.EngineEvent;
import org.fuchsiaford.selection.RequestAttributes;
import org.fuchsiaford.selection.StreamPace;
import org.fuchsiaford.serverlimit.ColdServer;
import org.fuchsiaford.serverlimit.NamedLimit;
import org.fuchsiaford.stream.BegunStreams;
import org.fuchsiaford.stream.StreamKey;
import org.fuchsiaford.workspace.GrantId;
import org.fuchsiaford.workspace.WorkspaceId;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Holds the wire form of each message between entry hosts. Hosts of two releases talk to each other
 * during an upgrade, so a renamed tag, field or enum value would cut them off from each other.
 */
class PeerWireFormTest {
    private static final ObjectMapper MESSAGE_PACK = new MessagePackMapper();
    private static final JsonMapper JSON = new JsonMapper();
    private static final String DIGEST_A = "a".repeat(64);
    private static final String DIGEST_B = "b".repeat(64);

    private final List<WireForm> mForms = new ArrayList<>();

    PeerWireFormTest() {
        addMembership();
        addBundles();
        addTokens();
        addPlacement();
        addFleet();
    }

    private void addMembership() {
        var slot = new SlotId("s1");
        var second = new Incarnation(2);
        var third = new Generation(3);
        add(
                "['p',{'request':{'subject':{'generation':3,'slot':'s1','incarnation':2}}}]",
                new PeerMessage.RequestPromise(
                        new PromiseRequest(new LeaseSubject(third, slot, second))));
        add(
                "['p',{'request':{'subject':{'generation':3}}}]",
                new PeerMessage.RequestPromise(
                        new PromiseRequest(new LeaseSubject(third, null, null))));
        add(
                "['P',{'member':'s1','reply':{'outcome':'GRANTED','generation':3}}]",
                new PeerMessage.PromiseResponse(
                        slot, new PromiseReply(PromiseReply.Outcome.GRANTED, third)));
        add("['P',{}]", new PeerMessage.PromiseResponse(null, null));
        add("['s',{'slot':'s1','incarnation':2}]", new PeerMessage.AnnounceSlotClaim(slot, second));
        add("['A',{'member':'s1'}]", new PeerMessage.Acknowledgement(slot));
        add("['A',{}]", new PeerMessage.Acknowledgement(null));
        add("['d',{}]", new PeerMessage.FetchSlots());
        add(
                "['S',{'records':[{'slot':'s1','incarnation':2,'host':'h1','peerAddress':'p:1',"
                        + "'callerAddress':'c:2','adminAddress':'a:3','state':'CLAIMED',"
                        + "'former':{'host':'h0','peerAddress':'p:0'},'occupied':true}],"
                        + "'live':['s1']}]",
                new PeerMessage.SlotsResponse(List.of(slotRecord(slot, second)), List.of(slot)));
        add("['i',{}]", new PeerMessage.Identify());
        add(
                "['I',{'host':'h1','slot':'s1','incarnation':2}]",
                new PeerMessage.IdentityResponse(host(), slot, second));
        add("['I',{'host':'h1'}]", new PeerMessage.IdentityResponse(host(), null, null));
        add("['D',{}]", new PeerMessage.Success());
        add("['X',{'reason':'why'}]", new PeerMessage.Failure("why"));
        add("['X',{}]", new PeerMessage.Failure(null));
    }

    private void addBundles() {
        var first = new Digest(DIGEST_A);
        var head = new BundleHead(new Generation(3), 12, first, "sig", new Digest(DIGEST_B), true);
        var headJson =
                "{'generation':3,'bundleVersion':12,'manifest':'%s','signature':'sig',"
                        .formatted(DIGEST_A);
        add(
                "['h',{'head':"
                        + headJson
                        + "'previousManifest':'"
                        + DIGEST_B
                        + "','accepted':true}}]",
                new PeerMessage.AnnounceHead(head));
        add("['f',{}]", new PeerMessage.FetchHead());
        add(
                "['H',{'head':" + headJson + "'accepted':false}}]",
                new PeerMessage.HeadResponse(
                        new BundleHead(new Generation(3), 12, first, "sig", null, false)));
        add("['H',{}]", new PeerMessage.HeadResponse(null));
        add("['c',{'digest':'" + DIGEST_A + "'}]", new PeerMessage.FetchBundleChunk(first));
        add("['C',{'bytes':'AQID'}]", new PeerMessage.BundleChunkResponse(new byte[] {1, 2, 3}));
        add("['C',{}]", new PeerMessage.BundleChunkResponse(null));
    }

    private void addTokens() {
        var workspace = new WorkspaceId("w1");
        var grant = new GrantId("g1");
        add(
                "['t',{'workspace':'w1','grant':'g1','tokens':5}]",
                new PeerMessage.AcquireTokens(workspace, grant, 5));
        add("['T',{'tokens':5,'levelTokens':6}]", new PeerMessage.TokensResponse(5, 6));
        add(
                "['u',{'workspace':'w1','grant':'g1','unusedTokens':7}]",
                new PeerMessage.ReturnTokens(workspace, grant, 7));
    }

    private void addPlacement() {
        var pool = new PoolId("k1");
        var request = new RequestId("r1");
        var engine = new BackendServerId("e1");
        add(
                "['l',{'pool':'k1','request':{'request':'r1','workspace':'w1','weight':2,"
                        + "'promptTokens':3,'maxOutputTokens':4,'prefixHashes':[5,-6],"
                        + "'firstTokenMillis':7}}]",
                new PeerMessage.RequestPlacement(
                        pool,
                        new PlacementRequest(
                                request, new WorkspaceId("w1"), 2, 3, 4, new long[] {5, -6}, 7)));
        add(
                "['L',{'decision':{'request':'r1','placed':true,'prefill':'e1','decode':'e2',"
                        + "'retryAfterMillis':9}}]",
                new PeerMessage.PlacementResponse(
                        new PlacementDecision(
                                request, true, engine, new BackendServerId("e2"), 9)));
        add(
                "['L',{'decision':{'request':'r1','placed':false,'retryAfterMillis':9}}]",
                new PeerMessage.PlacementResponse(
                        new PlacementDecision(request, false, null, null, 9)));
        add("['w',{'pool':'k1','request':'r1'}]", new PeerMessage.CancelPlacement(pool, request));
        add(
                "['r',{'pool':'k1','event':{'request':'r1','kind':'FIRST_TOKEN','engine':'e1',"
                        + "'outputTokens':8,'final':false}}]",
                new PeerMessage.ReportPlacementEvent(
                        pool,
                        new PlacementEvent(request, PlacementEvent.Kind.FIRST_TOKEN, engine, 8)));
        add(
                "['r',{'pool':'k1','event':{'request':'r1','kind':'FINISHED','outputTokens':8,"
                        + "'final':true}}]",
                new PeerMessage.ReportPlacementEvent(
                        pool, new PlacementEvent(request, PlacementEvent.Kind.FINISHED, null, 8)));
    }

    private void addFleet() {
        var admitted = List.of(new WorkspaceTotal(new WorkspaceId("w1"), 2, 3));
        var loads = List.of(new ServerLoad(new BackendServerId("e1"), 3, 4, 5));
        var waiting = List.of(new QueuedWork(new ServiceId("v1"), 6));
        var record = new HostRecord(host(), new FailureDomainId("f1"), "c:2", "p:1", 1.5);
        var held = List.of(new RequestId("r1"));
        var outcomes = List.of(new ServerOutcomes(new BackendServerId("e1"), 8, 2, 600));
        var quarantined = List.of(new QuarantinedPrompt(Set.of(new PromptPartId("p1")), 1, 8));
        var leaving = List.of(new ServerRun(new BackendServerId("e1"), 9));
        var limits = List.of(new NamedLimit(leaving.get(0), 1.5, 200));
        var failing = List.of(new FailureRate(new BackendServerId("e1"), 0.25));
        add(
                "['v',{'pulse':[['h1','f1','c:2','p:1',1.5],7,true,9,[['w1',2,3]],[['e1',3,4,5]],"
                        + "['r1'],[['e1',8,2,600]],[['v1',6]],[['e1',9]],[[['p1'],1,8]],"
                        + "[[['e1',9],1.5,200]],[['v1','b1',['k1','k2']]],2,"
                        + "[[['e1',9],'v1',700]]],'wantsLoads':true}]",
                new PeerMessage.Heartbeat(
                        new HostHeartbeat(
                                record,
                                7,
                                true,
                                9,
                                admitted,
                                loads,
                                held,
                                outcomes,
                                waiting,
                                leaving,
                                quarantined,
                                limits,
                                begunStreams(),
                                2,
                                List.of(cold())),
                        true));
        add(
                "['V',{'summary':[['h1','f1','c:2','p:1',1.5],9,['h1'],[['e1',3,4,5]],"
                        + "[['e1',0.25]],[['e1',9]],[[['p1'],1,8]],[[['e1',9],1.5,200]],2,"
                        + "[[['e1',9],'v1',700]]],'grantsSeats':true}]",
                new PeerMessage.FleetResponse(
                        new FleetSummary(
                                record,
                                9,
                                List.of(host()),
                                loads,
                                failing,
                                leaving,
                                quarantined,
                                limits,
                                2,
                                List.of(cold())),
                        true));
        addEmptyHeartbeat();
        addCoordination();
        addOrigins();
        addStoreEntries();
    }

    private void addEmptyHeartbeat() {
        add(
                "['v',{'pulse':[null,0,false,0,null,null,null,null,null,null,null,"
                        + "null,null,0,null],"
                        + "'wantsLoads':false}]",
                new PeerMessage.Heartbeat(
                        new HostHeartbeat(
                                null, 0, false, 0, null, null, null, null, null, null, null, null,
                                null, 0, null),
                        false));
    }

    private static ColdServer cold() {
        return new ColdServer(
                new ServerRun(new BackendServerId("e1"), 9), new ServiceId("v1"), 700);
    }

    private void addOrigins() {
        add(
                "['o',{'host':'h1','service':'v1','stream':'k1'}]",
                new PeerMessage.FindOrigin(host(), new ServiceId("v1"), new StreamKey("k1")));
        add(
                "['O',{'version':'b1','settled':true}]",
                new PeerMessage.OriginResponse(new SoftwareVersion("b1"), true));
        add("['O',{'settled':false}]", new PeerMessage.OriginResponse(null, false));
    }

    private static List<BegunStreams> begunStreams() {
        return List.of(
                new BegunStreams(
                        new ServiceId("v1"),
                        new SoftwareVersion("b1"),
                        List.of(new StreamKey("k1"), new StreamKey("k2"))));
    }

    private void addStoreEntries() {
        add("['e',{}]", new PeerMessage.FetchStoreEntries());
        add(
                "['E',{'revision':4,'entries':[{'key':'k','value':'AQ==','revision':3,"
                        + "'era':2},{'key':'l','revision':4,'era':2}],'era':2}]",
                new PeerMessage.StoreEntriesResponse(
                        4,
                        List.of(
                                new PeerMessage.StoreEntryCopy("k", new byte[] {1}, 3, 2),
                                new PeerMessage.StoreEntryCopy("l", null, 4, 2)),
                        2));
    }

    private void addCoordination() {
        var engine = new BackendServerId("e1");
        add(
                "['z',{'host':'h1','domain':'f1','request':'r1','service':'v1',"
                        + "'kind':{'route':'n1','priority':2},'workspace':'w1','excluded':['e1'],"
                        + "'targetLeftMillis':3,'leftMillis':4,'poll':true}]",
                new PeerMessage.AcquireSeat(
                        host(),
                        new FailureDomainId("f1"),
                        new RequestId("r1"),
                        new ServiceId("v1"),
                        new Kind("n1", 2),
                        new WorkspaceId("w1"),
                        List.of(engine),
                        3,
                        4,
                        true));
        add(
                "['g',{'host':'h1','domain':'f1','request':'r1','service':'v1',"
                    + "'tokens':{'promptTokens':7,'maxOutputTokens':8,"
                    + "'declaredOutputTokens':9},'promptParts':['p1'],'priority':1,'failed':['e1'],"
                    + "'version':'b1','targetMillis':2,'ageMillis':3,'eventLeftMillis':4,"
                    + "'leftMillis':5,'poll':true,'attributes':['n1','w1',6,['g1']]}]",
                new PeerMessage.AcquireEngines(
                        host(),
                        new FailureDomainId("f1"),
                        new RequestId("r1"),
                        new ServiceId("v1"),
                        new TokenCounts(7, 8, 9),
                        List.of(new PromptPartId("p1")),
                        1,
                        List.of(engine),
                        new SoftwareVersion("b1"),
                        2,
                        3,
                        4,
                        5,
                        true,
                        new RequestAttributes(
                                "n1", new WorkspaceId("w1"), 6, List.of(new RegionId("g1")))));
        add(
                "['G',{'state':'GRANTED','decode':'e1','prefill':'e1','millis':0}]",
                new PeerMessage.EnginesResponse(
                        PeerMessage.EnginesResponse.State.GRANTED, engine, engine, 0, null));
        add(
                "['G',{'state':'REFUSED','millis':4,'reason':'full'}]",
                new PeerMessage.EnginesResponse(
                        PeerMessage.EnginesResponse.State.REFUSED, null, null, 4, "full"));
        addReports();
    }

    private void addReports() {
        var engine = new BackendServerId("e1");
        add(
                "['n',{'host':'h1','events':[['COMPLETED','r1',null,null,6,7,8],"
                        + "['CALLED',null,'e1','NOT_RUN',0,0,0]]}]",
                new PeerMessage.ReportEngineEvents(
                        host(),
                        List.of(
                                EngineEvent.completed(new RequestId("r1"), 6, new StreamPace(7, 8)),
                                EngineEvent.called(engine, AttemptOutcome.NOT_RUN, 0))));
        var workspace = new WorkspaceId("w1");
        add(
                "['q',{'host':'h1','workspace':'w1','quota':{'tokensPerSecond':3,"
                        + "'burstTokens':4,'defaultRequestTokens':5},'tokens':6}]",
                new PeerMessage.ChargeLimit(host(), workspace, new TokenQuota(3, 4, 5), 6));
        add("['Q',{'waitNanos':7,'detail':'level'}]", new PeerMessage.LimitResponse(7, "level"));
        add(
                "['b',{'host':'h1','workspace':'w1','tokens':6}]",
                new PeerMessage.RefundLimit(host(), workspace, 6));
        var parts = List.of(new PromptPartId("p1"));
        add("['j',{'host':'h1','promptParts':['p1']}]", new PeerMessage.AdmitPrompt(host(), parts));
        add(
                "['k',{'host':'h1','server':'e1','promptParts':['p1'],'survivedMillis':7}]",
                new PeerMessage.ReportCrash(host(), engine, parts, 7));
        add(
                "['y',{'host':'h1','promptParts':['p1'],'ageMillis':7}]",
                new PeerMessage.ReportSurvival(host(), parts, 7));
        add(
                "['a',{'host':'h1','limit':[['e1',9],1.5,200]}]",
                new PeerMessage.AcquirePermit(
                        host(), new NamedLimit(new ServerRun(engine, 9), 1.5, 200), null));
        add(
                "['a',{'host':'h1','limit':[['e1',9],1.5,200],'cold':[['e1',9],'v1',700]}]",
                new PeerMessage.AcquirePermit(
                        host(), new NamedLimit(new ServerRun(engine, 9), 1.5, 200), cold()));
    }

    private static SlotRecord slotRecord(SlotId slot, Incarnation incarnation) {
        var former = new HostProcess(new HostId("h0"), "p:0");
        var state = SlotRecord.State.CLAIMED;
        return new SlotRecord(slot, incarnation, host(), "p:1", "c:2", "a:3", state, former);
    }

    private static HostId host() {
        return new HostId("h1");
    }

    private void add(String json, PeerMessage message) {
        mForms.add(new WireForm(json.replace('\'', '"'), message));
    }

    @Example
    void eachMessageIsWrittenInItsWireForm() throws IOException {
        for (WireForm form : mForms) {
            var bytes =
                    ByteBufUtil.getBytes(PeerCodec.encode(new PeerFrame(7, true, form.message())));
            assertThat(MESSAGE_PACK.readTree(bytes)).hasToString("[7,true," + form.json() + "]");
            assertThat(bytes).isEqualTo(form.bytes());
        }
        var request = PeerCodec.encode(new PeerFrame(8, false, null));
        assertThat(MESSAGE_PACK.readTree(ByteBufUtil.getBytes(request)))
                .hasToString("[8,false,null]");
    }

    @Example
    void eachWireFormIsReadAsItsMessage() throws IOException {
        for (WireForm form : mForms) {
            assertThat(PeerCodec.decode(Unpooled.wrappedBuffer(form.bytes())))
                    .as(form.json())
                    .usingRecursiveComparison()
                    .withStrictTypeChecking()
                    .isEqualTo(new PeerFrame(7, true, form.message()));
        }
    }

    @Example
    void everyKindOfMessageHasItsTag() {
        var held =
                mForms.stream().map(form -> form.message().getClass()).collect(Collectors.toSet());
        assertThat(PeerMessage.class.getPermittedSubclasses())
                .containsExactlyInAnyOrderElementsOf(held);
        assertThat(mForms.stream().map(form -> form.json().substring(2, 3)).distinct().sorted())
                .containsExactly("ACDEGHILOPQSTVXabcdefghijklnopqrstuvwyz".split(""));
    }

    @Example
    void enumValuesKeepTheirNames() {
        assertThat(written(PromiseReply.Outcome.values()))
                .containsExactly(
                        "GRANTED", "NEWER_GENERATION", "NEWER_INCARNATION", "MEMBER_NOT_SERVING");
        assertThat(written(PlacementEvent.Kind.values()))
                .containsExactly(
                        "PREFILL_FINISHED",
                        "FIRST_TOKEN",
                        "RUNNING",
                        "FINISHED",
                        "CANCELLED",
                        "ENGINE_REFUSED",
                        "ENGINE_FAILED");
        assertThat(written(SlotRecord.State.values()))
                .containsExactly("CLAIMED", "HELD", "LEAVING", "VACANT");
    }

    private static Stream<String> written(Object[] values) {
        return Arrays.stream(values).map(value -> JSON.valueToTree(value).asText());
    }
}
