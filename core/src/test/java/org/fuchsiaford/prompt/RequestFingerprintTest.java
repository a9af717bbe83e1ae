package org.fuchsiaford.prompt;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import org.fuchsiaford.workspace.KeyHash;

/** Which requests count as the same one. */
class RequestFingerprintTest {
    private static final Optional<KeyHash> CALLER = Optional.of(KeyHash.of("key"));

    private static PromptPartId of(Optional<KeyHash> caller, String target, String body) {
        return RequestFingerprint.of(caller, target, body.getBytes());
    }

    @Example
    void onlyTheSameCallerTargetAndBodyMakeTheSameRequest() {
        PromptPartId first = of(CALLER, "POST h/a", "body");
        assertThat(of(CALLER, "POST h/a", "body")).isEqualTo(first);
        List<PromptPartId> others =
                Stream.of(
                                of(CALLER, "POST h/a", "other"),
                                of(CALLER, "POST h/b", "body"),
                                of(CALLER, "GET h/a", "body"),
                                of(CALLER, "POST h/a\nbody", ""),
                                of(Optional.of(KeyHash.of("other")), "POST h/a", "body"),
                                of(Optional.empty(), "POST h/a", "body"))
                        .toList();
        assertThat(others).doesNotContain(first).doesNotHaveDuplicates();
    }
}
