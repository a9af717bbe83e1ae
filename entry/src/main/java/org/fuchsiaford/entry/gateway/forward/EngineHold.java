package org.fuchsiaford.entry.gateway.forward;

import org.fuchsiaford.selection.StreamPace;

/**
 * Engines that are reserved for one attempt of a request, and the way to report its progress to the
 * scheduler that reserved them. Implementations are thread-safe.
 */
interface EngineHold {
    /** Records that the prefill engine has read the prompt. */
    void recordPrefill(long durationNanos);

    /** Records that no prefill is needed, since the prompt has been read before. */
    void recordPrefillNotNeeded();

    /** Records that the decode engine has to prefill the prompt itself. */
    void recordPrefillFailure();

    /**
     * Records that the first event of the stream has arrived.
     *
     * @param sinceGrantNanos the time since the engines were granted
     */
    void recordFirstEvent(long sinceGrantNanos);

    /**
     * Releases the engines after a complete stream.
     *
     * @param sinceGrantNanos the time since the engines were granted
     * @param pace how its events followed each other
     */
    void complete(long sinceGrantNanos, StreamPace pace);

    /** Releases the engines after the decode engine has broken the stream off. */
    void breakOff();

    /** Releases the engines. Has no effect after a release. */
    void release();
}
