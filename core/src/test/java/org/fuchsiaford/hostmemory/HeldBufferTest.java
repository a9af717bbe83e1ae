package org.fuchsiaford.hostmemory;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Guards against buffers whose memory exceeds what the account knows of. */
class HeldBufferTest {
    private static final int MIB = 1024 * 1024;

    /** A third of the heap of a deployed host. */
    private static final long DEPLOYED_BYTES = 32 * MIB;

    private static boolean append(HeldBuffer buffer, int bytes) {
        return buffer.tryAppend(bytes, (target, offset) -> target[offset] = 1, 0);
    }

    /** Guards against a refusal of the largest legal body in chunks while nothing else is held. */
    @Example
    void theLargestBodyInSmallPiecesFitsInADeployedHost() {
        MemoryAccount account = new MemoryAccount(DEPLOYED_BYTES);
        MemoryAccount.Holding holding = account.openArriving(0, () -> {});
        HeldBuffer buffer = new HeldBuffer(holding, 4 * MIB);
        for (int i = 0; i < 4 * MIB - 1; i++) {
            assertThat(append(buffer, 1)).isTrue();
        }
        assertThat(buffer.take(0)).hasSize(4 * MIB - 1).containsOnly(1);
        assertThat(account.heldBytes(MemoryDirection.ARRIVING)).isEqualTo(4 * MIB - 1);
    }

    @Example
    void aBufferWithoutRoomKeepsWhatItHas() {
        MemoryAccount account = new MemoryAccount(4 * MIB);
        HeldBuffer buffer = new HeldBuffer(account.openArriving(0, () -> {}), 4 * MIB);
        assertThat(append(buffer, MIB)).isTrue();
        assertThat(append(buffer, 1)).isFalse();
        assertThat(buffer.size()).isEqualTo(MIB);
        assertThat(buffer.take(0)).hasSize(MIB);
    }
}
