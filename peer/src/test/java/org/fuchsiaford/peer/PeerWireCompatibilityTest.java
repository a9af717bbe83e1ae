package org.fuchsiaford.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import net.jqwik.api.Example;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.fleet.HostHeartbeat;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.registry.ServerRun;
import org.fuchsiaford.selection.StreamPace;
import org.fuchsiaford.serverlimit.ColdServer;

/**
 * Guards against messages of other builds that a host cannot read while hosts are replaced one at a
 * time.
 */
class PeerWireCompatibilityTest {
    /** Hosts of the release before eras of the store leave them out. */
    @Example
    void messagesWithoutEraAreRead() throws IOException {
        var heartbeat =
                "['v',{'pulse':[['h1','f1','c:2','p:1',1.5],7,true,9,[],[],[],[],[],[],[],[],[]],"
                        + "'wantsLoads':true}]";
        assertThat(WireForm.read(heartbeat, PeerMessage.Heartbeat.class).pulse().stateEra())
                .isZero();
        var summary = "['V',{'summary':[['h1','f1','c:2','p:1',1.5],9,[],[],[],[],[],[]]}]";
        assertThat(WireForm.read(summary, PeerMessage.FleetResponse.class).summary().stateEra())
                .isZero();
        assertThat(WireForm.read(summary, PeerMessage.FleetResponse.class).grantsSeats()).isFalse();
        var copy = "['E',{'revision':4,'entries':[{'key':'k','revision':3}]}]";
        var entries = WireForm.read(copy, PeerMessage.StoreEntriesResponse.class);
        assertThat(entries.era()).isZero();
        assertThat(entries.entries().get(0).era()).isZero();
    }

    /** The build before has no paces of streams; one after this may have further elements. */
    @Example
    void engineEventsWithoutPaceOrWithMoreAreRead() throws IOException {
        var form = "['n',{'host':'h1','events':[['COMPLETED','r1',null,null,6%s]]}]";
        var without = WireForm.read(form.formatted(""), PeerMessage.ReportEngineEvents.class);
        assertThat(without.events().get(0).pace()).isEqualTo(StreamPace.UNKNOWN);
        var more = WireForm.read(form.formatted(",7,8,9"), PeerMessage.ReportEngineEvents.class);
        assertThat(more.events().get(0).pace()).isEqualTo(new StreamPace(7, 8));
    }

    /** Guards against hosts that do not understand those of the build before, and the reverse. */
    @Example
    void messagesOfTheBuildBeforeAreReadAndLongerOnesAsWell() throws IOException {
        var fields = "[['h1','f1','c:2','p:1',1.5],7,true,9,[],[],[],[['e1',8,2]],[],[],[],[],[],2";
        var before = readHeartbeat(fields + "]");
        assertThat(before.cold()).isNull();
        assertThat(before.outcomes().get(0).answerMicros()).isZero();
        var longer = readHeartbeat(fields + ",[[['e1',9],'v1',700]],'new']");
        assertThat(longer.cold())
                .containsExactly(
                        new ColdServer(
                                new ServerRun(new BackendServerId("e1"), 9),
                                new ServiceId("v1"),
                                700));
    }

    private static HostHeartbeat readHeartbeat(String fields) throws IOException {
        var json = "['v',{'pulse':" + fields + ",'wantsLoads':true}]";
        return WireForm.read(json, PeerMessage.Heartbeat.class).pulse();
    }

    @Example
    void anUnknownFieldIsIgnored() throws IOException {
        var form = "['D',{'new':1}]";
        assertThat(WireForm.read(form, PeerMessage.Success.class))
                .isEqualTo(new PeerMessage.Success());
    }
}
