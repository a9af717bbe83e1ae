package org.fuchsiaford.order;

import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.selection.EngineLoadSample;

/**
 * The change of the number of prefill engines that a measured load calls for. Immutable.
 *
 * @param service the service
 * @param order the order for the next step
 * @param prefillEngines the prefill engines now
 * @param decodeEngines the decode engines now
 * @param wantedPrefillEngines the prefill engines that serve most
 * @param servedPerSecond the streams a second that start now, by the load
 * @param wantedServedPerSecond the streams a second that start after the order
 * @param tokensPerMilli the speed of a prefill engine, in prompt tokens per millisecond
 * @param load the measured load
 */
public record StageChoice(
        ServiceId service,
        StageOrder order,
        int prefillEngines,
        int decodeEngines,
        int wantedPrefillEngines,
        double servedPerSecond,
        double wantedServedPerSecond,
        double tokensPerMilli,
        EngineLoadSample load) {}
