package org.fuchsiaford.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.registry.SoftwareVersion;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.workspace.KeyHash;

/** What hosts know of where streams began. */
class StreamOriginsTest {
    private static final ServiceId SERVICE = new ServiceId("s");
    private static final SoftwareVersion OLD = new SoftwareVersion("v1");
    private static final SoftwareVersion NEW = new SoftwareVersion("v2");
    private static final StreamKey STREAM = new StreamKey("k");

    private final StreamOrigins mOrigins = new StreamOrigins();

    private Optional<SoftwareVersion> version(StreamKey stream) {
        return mOrigins.find(stream).flatMap(StreamOrigin::version);
    }

    @Example
    void whatIsKnownOfAStreamStaysWhateverIsReportedLater() {
        mOrigins.record(STREAM, StreamOrigin.of(SERVICE, OLD), 0);
        assertThat(mOrigins.merge(List.of(new BegunStreams(SERVICE, NEW, List.of(STREAM))), 1))
                .isEmpty();
        assertThat(version(STREAM)).contains(OLD);
    }

    @Example
    void aStreamThatCannotBeToldStaysUntold() {
        List<BegunStreams> unknown = List.of(new BegunStreams(SERVICE, null, List.of(STREAM)));
        mOrigins.record(STREAM, StreamOrigin.of(SERVICE, OLD), 0);
        assertThat(mOrigins.merge(unknown, 1)).isEqualTo(unknown);
        mOrigins.merge(List.of(new BegunStreams(SERVICE, OLD, List.of(STREAM))), 2);
        assertThat(mOrigins.find(STREAM)).isPresent();
        assertThat(version(STREAM)).isEmpty();
        assertThat(mOrigins.recordedSince(0, origin -> true)).isEqualTo(unknown);
    }

    @Example
    void onlyStreamsRecordedSinceATimeAreReported() {
        mOrigins.record(STREAM, StreamOrigin.of(SERVICE, OLD), 5);
        StreamKey later = new StreamKey("l");
        mOrigins.record(later, StreamOrigin.of(SERVICE, OLD), 9);
        assertThat(mOrigins.recordedSince(6, origin -> true))
                .containsExactly(new BegunStreams(SERVICE, OLD, List.of(later)));
        mOrigins.removeRecordedBefore(9);
        assertThat(mOrigins.find(STREAM)).isEmpty();
        assertThat(version(later)).contains(OLD);
    }

    @Example
    void theOldestStreamsAreForgottenFirst() {
        IntStream.range(0, 70_000)
                .forEach(
                        i ->
                                mOrigins.record(
                                        new StreamKey("k" + i), StreamOrigin.of(SERVICE, OLD), i));
        assertThat(mOrigins.find(new StreamKey("k0"))).isEmpty();
        assertThat(version(new StreamKey("k69999"))).contains(OLD);
    }

    @Example
    void theStreamOfAnotherCallerOrTargetHasAnotherKey() {
        RequestId id = new RequestId("r");
        Optional<KeyHash> caller = Optional.of(KeyHash.of("one"));
        StreamKey key = StreamKey.of(caller, "h/x", id);
        assertThat(StreamKey.of(caller, "h/x", new RequestId("r"))).isEqualTo(key);
        assertThat(
                        List.of(
                                StreamKey.of(Optional.of(KeyHash.of("two")), "h/x", id),
                                StreamKey.of(Optional.empty(), "h/x", id),
                                StreamKey.of(caller, "h/y", id),
                                StreamKey.of(caller, "h/x", new RequestId("q"))))
                .doesNotContain(key);
        assertThat(key.toFraction()).isGreaterThanOrEqualTo(0).isLessThan(1);
    }

    @Example
    void anOriginIsCertainIfTheRegistryWasCurrentSinceItWasKnown() {
        mOrigins.record(STREAM, StreamOrigin.of(SERVICE, OLD), 5);
        assertThat(mOrigins.isCertain(STREAM, OptionalLong.empty())).isFalse();
        assertThat(mOrigins.isCertain(STREAM, OptionalLong.of(5))).isFalse();
        assertThat(mOrigins.isCertain(STREAM, OptionalLong.of(6))).isTrue();
        mOrigins.record(STREAM, StreamOrigin.of(SERVICE, OLD), 9);
        assertThat(mOrigins.isCertain(STREAM, OptionalLong.of(6))).isTrue();
    }

    @Example
    void anOriginIsCertainOnceItsServerHasStatedIt() {
        mOrigins.recordStated(STREAM, StreamOrigin.of(SERVICE, OLD), 5);
        mOrigins.record(STREAM, StreamOrigin.of(SERVICE, OLD), 6);
        assertThat(mOrigins.isCertain(STREAM, OptionalLong.empty())).isTrue();
    }
}
