package org.fuchsiaford.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import net.jqwik.api.Example;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.selection.StreamPace;

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

    @Example
    void anUnknownFieldIsIgnored() throws IOException {
        var form = "['D',{'new':1}]";
        assertThat(WireForm.read(form, PeerMessage.Success.class))
                .isEqualTo(new PeerMessage.Success());
    }
}
