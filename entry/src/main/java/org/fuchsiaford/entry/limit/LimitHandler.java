package org.fuchsiaford.entry.limit;

import java.util.Optional;
import org.fuchsiaford.entry.member.Membership;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.time.Ticker;
import org.fuchsiaford.workspace.HomeBuckets;

/**
 * Handles peer messages about token limits. Tokens are granted only while this host holds its slot
 * with a valid lease. Thread-safe.
 */
public final class LimitHandler {
    private final Membership mMembership;
    private final Ticker mTicker;

    /** Creates a handler. */
    public LimitHandler(Membership membership, Ticker ticker) {
        mMembership = membership;
        mTicker = ticker;
    }

    /** Returns the response to a request, or nothing if the request is of another kind. */
    public Optional<PeerMessage> handle(PeerMessage message) {
        if (message instanceof PeerMessage.AcquireTokens request) {
            return Optional.of(grant(request));
        }
        if (message instanceof PeerMessage.ReturnTokens refund) {
            mMembership
                    .heldSlot()
                    .ifPresent(
                            held ->
                                    held.buckets()
                                            .settle(
                                                    refund.workspace(),
                                                    refund.grant(),
                                                    refund.unusedTokens(),
                                                    mTicker.nowNanos()));
            return Optional.of(new PeerMessage.Success());
        }
        return Optional.empty();
    }

    private PeerMessage grant(PeerMessage.AcquireTokens request) {
        return mMembership
                .servingSlot()
                .map(held -> grant(held.buckets(), request))
                .orElse(new PeerMessage.TokensResponse(0, 0));
    }

    private PeerMessage grant(HomeBuckets buckets, PeerMessage.AcquireTokens request) {
        long nowNanos = mTicker.nowNanos();
        long tokens =
                buckets.grantToHost(
                        request.workspace(), request.grant(), request.tokens(), nowNanos);
        long levelTokens = buckets.levelTokens(request.workspace(), nowNanos);
        return new PeerMessage.TokensResponse(tokens, levelTokens);
    }
}
