package org.fuchsiaford.selection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fuchsiaford.TestServers;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.registry.LiveServer;

/** A server that fails a part of its calls, in a fleet whose hosts each call it rarely. */
class FleetHealthTest {
    private static final FailureDomainId DOMAIN = new FailureDomainId("here");
    private static final int HOSTS = 95;
    private static final int SECONDS = 10;
    private static final int REQUESTS_PER_SECOND = 86;
    private static final double FAILING_PART = 0.4;

    private final List<LiveServer> mServers =
            IntStream.range(0, 6).mapToObj(i -> TestServers.plain("s" + i, "here")).toList();

    /**
     * Returns the part of the requests that fail in the second half of the time.
     *
     * @param shared whether the hosts learn the failure rates from a coordinator
     */
    private double failedPart(boolean shared, Random random) {
        List<ServerHealth> health =
                IntStream.range(0, HOSTS).mapToObj(i -> new ServerHealth()).toList();
        FleetHealth fleet = new FleetHealth();
        OutcomeTally tally = new OutcomeTally();
        int failed = 0;
        int requests = SECONDS * REQUESTS_PER_SECOND;
        for (int i = 0; i < requests; i++) {
            long nowNanos = TimeUnit.SECONDS.toNanos(1) * (i + 1) / REQUESTS_PER_SECOND;
            ServerHealth own = health.get(random.nextInt(HOSTS));
            LiveServer server =
                    new ServerSelector(DOMAIN, new LoadTracker(), own, random::nextDouble)
                            .pick(mServers, Set.of(), nowNanos)
                            .orElseThrow();
            boolean fails = server.equals(mServers.get(0)) && random.nextDouble() < FAILING_PART;
            AttemptOutcome outcome = fails ? AttemptOutcome.SERVER_ERROR : AttemptOutcome.ANSWERED;
            own.recordOutcome(server.id(), outcome, 1_000, nowNanos);
            tally.record(server.id(), outcome);
            failed += fails && i >= requests / 2 ? 1 : 0;
            if (shared && i % (REQUESTS_PER_SECOND / 2) == 0) {
                fleet.add(tally.drain(), nowNanos);
                health.forEach(h -> h.replaceFleetRates(fleet.failing(nowNanos), nowNanos));
            }
        }
        return 2.0 * failed / requests;
    }

    @Property(tries = 10, seed = "51")
    void hostsThatShareWhatTheySeeAvoidAFailingServer(@ForAll Random random) {
        double alone = failedPart(false, random);
        double shared = failedPart(true, random);
        assertThat(alone).isGreaterThan(0.03);
        assertThat(shared).isLessThan(alone / 2);
    }

    @Example
    void aServerThatRejectsBecauseItIsFullIsNotFailing() {
        OutcomeTally tally = new OutcomeTally();
        IntStream.range(0, 50)
                .forEach(i -> tally.record(mServers.get(0).id(), AttemptOutcome.NOT_RUN));
        FleetHealth fleet = new FleetHealth();
        fleet.add(tally.drain(), 0);
        assertThat(fleet.failing(0)).isEmpty();
    }

    @Example
    void aFailingServerIsTriedAgainAfterAWhile() {
        OutcomeTally tally = new OutcomeTally();
        IntStream.range(0, 20)
                .forEach(i -> tally.record(mServers.get(0).id(), AttemptOutcome.UNKNOWN));
        FleetHealth fleet = new FleetHealth();
        fleet.add(tally.drain(), 0);
        assertThat(fleet.failing(0)).hasSize(1);
        assertThat(fleet.failing(TimeUnit.SECONDS.toNanos(15))).isEmpty();
    }
}
