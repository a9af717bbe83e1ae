package org.fuchsiaford.selection;

import java.util.concurrent.TimeUnit;

/** Refusals of requests for engines that do not depend on a queue. Stateless. */
final class EngineRefusals {
    private EngineRefusals() {}

    /** Refuses a request whose prompt is in quarantine for a time. */
    static EngineAnswer.Refused quarantined(EngineRequest request, long quarantineNanos) {
        long millis = TimeUnit.NANOSECONDS.toMillis(quarantineNanos);
        return new EngineAnswer.Refused(
                request,
                Math.max(EngineWaits.MIN_RETRY_MILLIS, millis),
                "a part of the prompt has crashed engines");
    }

    /** Refuses a request that no known engine could ever serve. */
    static EngineAnswer.Refused noEngine(EngineRequest request) {
        String regions =
                request.attributes().allowedRegions().isEmpty() ? "" : " in an allowed region";
        String reason =
                request.version().isEmpty()
                        ? "no engine is known" + regions
                        : "no engine" + regions + " has the software version that began the stream";
        return new EngineAnswer.Refused(request, EngineWaits.MIN_RETRY_MILLIS, reason);
    }
}
