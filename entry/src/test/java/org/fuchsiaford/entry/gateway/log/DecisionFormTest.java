package org.fuchsiaford.entry.gateway.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.fuchsiaford.prompt.PromptPartId;

/**
 * Pins the exact form of each line of the decision log. Operators' tools match event names and
 * fields, so renaming a record or a component would break them without an error.
 */
class DecisionFormTest {
    private static final Logger DECISIONS = Logger.getLogger("org.fuchsiaford.decisions");

    private record Form(String host, String event, Decision decision) {
        String line() {
            return "{AT,\"host\":\"" + host + "\",\"event\":" + event + "}";
        }
    }

    private final List<Form> mForms = new ArrayList<>();
    private final List<String> mLines = new CopyOnWriteArrayList<>();
    private final Handler mHandler =
            new Handler() {
                @Override
                public void publish(LogRecord record) {
                    // Hosts of other tests in this process may use the same logger.
                    record.getMessage()
                            .lines()
                            .filter(line -> line.contains("\"host\":\"form-"))
                            .forEach(mLines::add);
                }

                @Override
                public void flush() {}

                @Override
                public void close() {}
            };

    DecisionFormTest() {
        DECISIONS.addHandler(mHandler);
        addRequests();
        addBeliefs();
    }

    @AfterTry
    void removeHandler() {
        DECISIONS.removeHandler(mHandler);
    }

    private void addRequests() {
        add(
                "'Placed','request':'r','server':'s','serverVersion':'v',"
                        + "'serverStartedMillis':8,'prefillServer':'p',"
                        + "'attempt':1,"
                        + "'serverRequests':2,'serverTokens':3,'promptTokens':4,'answerTokens':5,"
                        + "'leftMillis':6,'registryRevision':7",
                new Decision.Placed("r", "s", "v", 8, "p", 1, 2, 3, 4, 5, 6, 7));
        add(
                "'Queued','request':'r','waitingTokens':1,'rank':'even','estimatedWaitMillis':2",
                new Decision.Queued("r", 1, "even", 2));
        add(
                "'SeatAwaited','request':'r','service':'s','state':'waiting','millis':1",
                new Decision.SeatAwaited("r", "s", "waiting", 1));
        add(
                "'Ordered','server':'s','stage':'t','fence':1,'outcome':'o'",
                new Decision.Ordered("s", "t", 1, "o"));
        add(
                "'OrderHolder','state':'s','fence':1,'reason':'r'",
                new Decision.OrderHolder("s", 1, "r"));
        add(
                "'AttemptFailed','request':'r','server':'s','outcome':'o','reason':'w',"
                        + "'promptParts':['p'],'next':'n','retryObstacle':'b','leftMillis':1,"
                        + "'closedBy':'c','receivedBytes':2",
                new Decision.AttemptFailed(
                        "r", "s", "o", "w", List.of(new PromptPartId("p")), "n", "b", 1, "c", 2L));
        add(
                "'RequestCut','request':'r','route':'t','server':'s','sentAfterStopMillis':-1,"
                        + "'longestMillis':2,'receivedBytes':3,'silentMillis':4,'leftMillis':5",
                new Decision.RequestCut("r", "t", "s", -1, 2L, 3L, 4, 5));
        add(
                "'EngineAsked','server':'s','registeredMillis':1,'statedMillis':2,'outcome':'o'",
                new Decision.EngineAsked("s", 1, 2L, "o"));
        add("'Resumed','request':'r','afterEvent':'e'", new Decision.Resumed("r", "e"));
        add(
                "'TakenUp','request':'r','resumes':'q','afterEvent':'e'",
                new Decision.TakenUp("r", "q", "e"));
        add(
                "'OriginFound','request':'r','version':'v','settled':true",
                new Decision.OriginFound("r", "v", true));
        add(
                "'Ended','request':'r','route':'t','workspace':'w','outcome':'o','status':1,"
                        + "'reason':'y','sends':2,'elapsedMillis':3,'firstByteMillis':4,"
                        + "'retryAfterMillis':5,'tableVersion':6,'framing':'f',"
                        + "'insideEvent':true,'afterStopMillis':7,"
                        + "'longestGapMillis':8,'longestGapEndMillis':9",
                new Decision.Ended(
                        "r", "t", "w", "o", 1, "y", 2, 3, 4, 5, 6, "f", true, 7L, 8L, 9L));
    }

    private void addBeliefs() {
        add(
                "'StageSplit','service':'v','server':'s','stage':'g','prefillEngines':1,"
                        + "'decodeEngines':2,'wantedPrefillEngines':3,'servedPerSecond':4.5,"
                        + "'wantedServedPerSecond':5.5,'arrivalsPerSecond':6.5,'promptTokens':7,"
                        + "'apartFraction':0.5,'kvTokens':8,'runMillis':9,"
                        + "'prefillTokensPerMilli':10.5",
                new Decision.StageSplit("v", "s", "g", 1, 2, 3, 4.5, 5.5, 6.5, 7, 0.5, 8, 9, 10.5));
        add(
                "'ServerNoticed','server':'s','notice':'n','source':'r','millis':1",
                new Decision.ServerNoticed("s", "n", "r", 1, null));
        add(
                "'ServerNoticed','server':'s','notice':'limit','source':'r','millis':0,"
                        + "'requestsPerSecond':1.5",
                Decision.ServerNoticed.limit("s", "r", 1.5));
        add(
                "'ServerNoticed','server':'s','notice':'limit-ended','source':'r','millis':0",
                Decision.ServerNoticed.limit("s", "r", Double.POSITIVE_INFINITY));
        addPeersAndStore();
    }

    private void addPeersAndStore() {
        add(
                "'ServerCold','server':'s','service':'v','source':'r','millis':1,"
                        + "'requestsPerSecond':1.5",
                new Decision.ServerCold("s", "v", "r", 1, 1.5));
        add(
                "'ServerPaced','server':'s','service':'v','state':'t'",
                new Decision.ServerPaced("s", "v", "t"));
        add(
                "'PromptQuarantined','state':'s','promptParts':['p'],'strikes':1,'millis':2",
                new Decision.PromptQuarantined("s", List.of(new PromptPartId("p")), 1, 2));
        add(
                "'VersionsRecorded','service':'v','versions':['w'],'outcome':'o'",
                new Decision.VersionsRecorded("v", List.of("w"), "o"));
        add(
                "'OriginRecordsFailed','operation':'o','reason':'r'",
                new Decision.OriginRecordsFailed("o", "r"));
        add(
                "'Evacuation','failureDomain':'d','state':'s','revision':1",
                new Decision.Evacuation("d", "s", 1));
        add("'TableInForce','version':1,'revision':2", new Decision.TableInForce(1, 2));
        add(
                "'ServerSeen','server':'s','service':'v','state':'t','stage':'g','version':'w',"
                        + "'startedMillis':1,'revision':2",
                new Decision.ServerSeen("s", "v", "t", "g", "w", 1L, 2));
        add(
                "'EntryUnreadable','key':'k','revision':1,'reason':'r'",
                new Decision.EntryUnreadable("k", 1, "r"));
        // A field "host" of the decision replaces the name of the host that writes the line.
        add(
                "form-peer",
                "'PeerSeen','address':'a','state':'s'",
                new Decision.PeerSeen("form-peer", "a", "s"));
        add(
                "form-peer",
                "'StateCopied','fromRevision':1,'toRevision':2",
                new Decision.StateCopied("form-peer", 1, 2));
        add(
                "'LimitShare','share':0.5,'reachableHosts':1,'presentHosts':2",
                new Decision.LimitShare(0.5, 1, 2));
        add("'Coordinator','coordinator':'c'", new Decision.Coordinator("c"));
        add(
                "'SchedulerChanged','request':'r','from':'a','to':'b'",
                new Decision.SchedulerChanged("r", "a", "b"));
        add(
                "'RequestRejected','caller':'c','status':400,'reason':'r'",
                new Decision.RequestRejected("c", 400, "r"));
        add("'StoreSeen','state':'s','reason':'r'", new Decision.StoreSeen("s", "r"));
        add("'Lifecycle','state':'s','detail':'d'", new Decision.Lifecycle("s", "d"));
        add("'Lifecycle','state':'s'", new Decision.Lifecycle("s", null));
        add("'Dropped','kinds':['a=1','b=2']", new Decision.Dropped(List.of("a=1", "b=2")));
    }

    private void add(String event, Decision decision) {
        add("form-host", event, decision);
    }

    private void add(String host, String event, Decision decision) {
        mForms.add(new Form(host, event.replace('\'', '"'), decision));
    }

    @Example
    void eachDecisionIsWrittenInItsForm() {
        var log = new DecisionLog("form-host");
        mForms.forEach(form -> log.write(form.decision));
        log.flush();
        assertThat(mLines.stream().map(line -> line.replaceFirst("\"at\":\"[^\"]+Z\"", "AT")))
                .containsExactlyElementsOf(mForms.stream().map(Form::line).toList());
    }

    @Example
    void everyDecisionHasAForm() {
        assertThat(Decision.class.getPermittedSubclasses())
                .containsExactlyInAnyOrderElementsOf(
                        mForms.stream()
                                .map(form -> form.decision.getClass())
                                .collect(Collectors.toSet()));
    }
}
