package org.fuchsiaford.standin.bench.policy;

import java.util.ArrayList;
import java.util.List;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.bundle.BackendKind;
import org.fuchsiaford.placement.EngineLoad;
import org.fuchsiaford.placement.EngineSpec;
import org.fuchsiaford.placement.ModelSpec;
import org.fuchsiaford.placement.PlacementDecision;
import org.fuchsiaford.placement.PlacementEvent;
import org.fuchsiaford.placement.PlacementPolicy;
import org.fuchsiaford.placement.PlacementRequest;
import org.fuchsiaford.request.RequestId;

/** A baseline policy that places every request immediately and refuses none. Not thread-safe. */
public final class ImmediatePolicy implements PlacementPolicy {
    private final EngineLoads mLoads;
    private final EngineSelector mSelector;
    private final List<PlacementDecision> mDecisions = new ArrayList<>();

    /**
     * Creates a policy.
     *
     * @param selector selects the engines of each request
     * @param engines the engines of the pool
     */
    public ImmediatePolicy(EngineSelector selector, List<EngineSpec> engines) {
        mSelector = selector;
        mLoads = new EngineLoads(engines);
    }

    @Override
    public void submit(PlacementRequest request, long nowNanos) {
        BackendServerId prefill = mSelector.select(request, BackendKind.PREFILL, mLoads, nowNanos);
        BackendServerId decode = mSelector.select(request, BackendKind.DECODE, mLoads, nowNanos);
        mDecisions.add(PlacementDecision.place(request.request(), prefill, decode));
    }

    @Override
    public void withdraw(RequestId request, long nowNanos) {}

    @Override
    public void recordEvent(PlacementEvent event, long nowNanos) {}

    @Override
    public void updateLoad(EngineLoad load, long nowNanos) {
        mLoads.report(load);
    }

    @Override
    public void reconfigure(ModelSpec model, List<EngineSpec> engines) {
        mLoads.replace(engines);
    }

    @Override
    public List<PlacementDecision> decide(long nowNanos) {
        List<PlacementDecision> decisions = List.copyOf(mDecisions);
        mDecisions.clear();
        return decisions;
    }
}
