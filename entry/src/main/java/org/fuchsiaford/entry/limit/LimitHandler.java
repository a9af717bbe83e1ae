package org.fuchsiaford.entry.limit;

import java.util.Optional;
import org.fuchsiaford.entry.member.Membership;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.time.Ticker;
import org.fuchsiaford.workspace.HomeBuckets;

/**
 * Answers the messages that concern limits. Tokens are given only while this host holds the slot by
 * a valid lease. Thread-safe.
 */
public final class LimitHandler {
    private final Membership mMembership;
    private final Ticker mTicker;

    /** Creates a handler. */
    public LimitHandler(Membership membership, Ticker ticker) {
        mMembership = membership;
        mTicker = ticker;
    }

    /** Returns the answer to a request, or nothing if it concerns something else. */
    public Optional<PeerMessage> handle(PeerMessage message) {
        if (message instanceof PeerMessage.AcquireTokens acquire) {
            return Optional.of(grant(acquire));
        }
        if (message instanceof PeerMessage.ReturnTokens settle) {
            mMembership
                    .heldSlot()
                    .ifPresent(
                            held ->
                                    held.buckets()
                                            .settle(
                                                    settle.workspace(),
                                                    settle.grant(),
                                                    settle.unusedTokens(),
                                                    mTicker.nowNanos()));
            return Optional.of(new PeerMessage.Success());
        }
        return Optional.empty();
    }

    private PeerMessage grant(PeerMessage.AcquireTokens acquire) {
        return mMembership
                .servingSlot()
                .map(held -> grant(held.buckets(), acquire))
                .orElse(new PeerMessage.TokensResponse(0, 0));
    }

    private PeerMessage grant(HomeBuckets ledger, PeerMessage.AcquireTokens acquire) {
        long nowNanos = mTicker.nowNanos();
        long tokens =
                ledger.grantToHost(
                        acquire.workspace(), acquire.grant(), acquire.tokens(), nowNanos);
        long levelTokens = ledger.levelTokens(acquire.workspace(), nowNanos);
        return new PeerMessage.TokensResponse(tokens, levelTokens);
    }
}
