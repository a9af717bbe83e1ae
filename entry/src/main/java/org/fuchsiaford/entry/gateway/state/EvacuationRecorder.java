package org.fuchsiaford.entry.gateway.state;

import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.registry.EvacuatedDomains;
import org.fuchsiaford.time.Ticker;

/** Records which failure domains are evacuated, and logs each change. Thread-safe. */
final class EvacuationRecorder {
    private final EvacuatedDomains mDomains;
    private final DecisionLog mLog;
    private final Ticker mTicker;

    EvacuationRecorder(EvacuatedDomains domains, DecisionLog log, Ticker ticker) {
        mDomains = domains;
        mLog = log;
        mTicker = ticker;
    }

    void begin(FailureDomainId domain, long revision) {
        if (mDomains.begin(domain)) {
            log(domain, "begun", revision);
        }
    }

    /**
     * Ends an evacuation.
     *
     * @param isLost whether the store has lost its key, since it was restored from a copy
     */
    void end(FailureDomainId domain, long revision, boolean isLost) {
        if (isLost) {
            if (mDomains.keepMissing(domain, mTicker.nowNanos())) {
                log(domain, "kept", revision);
            }
        } else if (mDomains.end(domain)) {
            log(domain, "ended", revision);
        }
    }

    /** Ends the evacuations that a restored store has lacked for too long. */
    void endDue(long revision) {
        mDomains.endDue(mTicker.nowNanos()).forEach(domain -> log(domain, "ended", revision));
    }

    private void log(FailureDomainId domain, String state, long revision) {
        mLog.write(new Decision.Evacuation(domain.value(), state, revision));
    }
}
