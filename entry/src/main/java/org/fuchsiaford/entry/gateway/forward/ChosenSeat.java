package org.fuchsiaford.entry.gateway.forward;

import java.util.concurrent.atomic.AtomicBoolean;
import org.fuchsiaford.fleet.ServerLoad;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.selection.LoadTracker;

/** A place that this host has chosen by itself; counts as load while the request is sent. */
final class ChosenSeat implements Seat {
    private final LiveServer mServer;
    private final LoadTracker mLoads;
    private final ServerLoad mLoad;
    private final AtomicBoolean mIsBegun = new AtomicBoolean();

    ChosenSeat(LiveServer server, LoadTracker loads) {
        mServer = server;
        mLoads = loads;
        mLoad = new ServerLoad(server.id(), 1, 0, 0);
    }

    @Override
    public LiveServer server() {
        return mServer;
    }

    @Override
    public void begin() {
        if (mIsBegun.compareAndSet(false, true)) {
            mLoads.add(mLoad);
        }
    }

    @Override
    public void complete(long durationNanos) {
        release();
    }

    @Override
    public void reject() {
        release();
    }

    @Override
    public void release() {
        if (mIsBegun.compareAndSet(true, false)) {
            mLoads.remove(mLoad);
        }
    }
}
