package org.fuchsiaford.registry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.bundle.FailureDomainId;

/**
 * The failure domains that operators have evacuated: no new request is sent to their servers.
 *
 * <p>Load pattern: a failure domain is taken out of service while requests wait, and its servers
 * are asked for by all hosts at once when it returns.
 *
 * <p>Invariant: a domain remains evacuated until the listener has been told of the end. An
 * evacuation that a restored store lacks is kept for {@link #RETENTION_NANOS}, since the store may
 * have been copied before it began. Thread-safe.
 */
public final class EvacuatedDomains {
    /**
     * Time in which operators write an evacuation again that a restored store lacks. Longer than
     * the 5 s within which hosts obey an evacuation, so that a key written as late as that leaves
     * no gap; not measured.
     */
    public static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final EvacuationListener mListener;
    private final Map<FailureDomainId, Evacuation> mEvacuations = new HashMap<>();
    private volatile Set<FailureDomainId> mDomains = Set.of();

    /**
     * State of an evacuation.
     *
     * @param missing whether a restored store lacks it
     * @param untilNanos until when it is kept if it is missing
     */
    private record Evacuation(boolean missing, long untilNanos) {
        boolean isDue(long nowNanos) {
            return missing && nowNanos - untilNanos >= 0;
        }
    }

    /** Creates an empty set. */
    public EvacuatedDomains(EvacuationListener listener) {
        mListener = listener;
    }

    /** Records that a failure domain is evacuated. Returns whether it was not before. */
    public synchronized boolean begin(FailureDomainId domain) {
        boolean isNew = mEvacuations.put(domain, new Evacuation(false, 0)) == null;
        mDomains = Set.copyOf(mEvacuations.keySet());
        return isNew;
    }

    /** Ends an evacuation. Returns false if the failure domain is not evacuated. */
    public synchronized boolean end(FailureDomainId domain) {
        if (!mEvacuations.containsKey(domain)) {
            return false;
        }
        mListener.evacuationEnds(domain);
        mEvacuations.remove(domain);
        mDomains = Set.copyOf(mEvacuations.keySet());
        return true;
    }

    /**
     * Records that a restored store lacks an evacuation. Returns false if the failure domain is not
     * evacuated.
     */
    public synchronized boolean keepMissing(FailureDomainId domain, long nowNanos) {
        Evacuation kept = new Evacuation(true, nowNanos + RETENTION_NANOS);
        return mEvacuations.computeIfPresent(domain, (d, last) -> last.missing() ? last : kept)
                != null;
    }

    /** Ends the evacuations that were missing for too long, and returns their failure domains. */
    public synchronized List<FailureDomainId> endDue(long nowNanos) {
        List<FailureDomainId> due =
                mEvacuations.entrySet().stream()
                        .filter(entry -> entry.getValue().isDue(nowNanos))
                        .map(Map.Entry::getKey)
                        .toList();
        due.forEach(this::end);
        return due;
    }

    /** Returns whether a failure domain is evacuated. */
    public boolean contains(FailureDomainId domain) {
        return mDomains.contains(domain);
    }

    /** Returns the number of evacuated failure domains. */
    public int size() {
        return mDomains.size();
    }
}
