package org.fuchsiaford.entry.gateway;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import org.fuchsiaford.json.JsonObjectReader;

/**
 * What an entry host may hold for its callers. Immutable.
 *
 * @param maxHeldBytes the maximum sum of heads, bodies and responses in memory, in bytes
 * @param maxCallerConnections the maximum number of open connections of callers
 * @param maxServerBytes the maximum sum of the bodies in progress at one server, in bytes
 */
public record MemorySettings(long maxHeldBytes, int maxCallerConnections, long maxServerBytes) {
    /** The rest of the heap is for the host itself, for garbage, and for copies while sending. */
    private static final int HEAP_DIVISOR = 3;

    /** Two bodies of the largest size at a deployed host, several hundred of the usual size. */
    private static final int SERVER_HEAP_DIVISOR = 12;

    /** Heap that a connection without requests takes at most, several times over. */
    private static final long HEAP_BYTES_PER_CONNECTION = 64 * 1024;

    /** Descriptors for files, listening ports, the store, other hosts and callers' requests. */
    private static final long OTHER_DESCRIPTORS = 64;

    /** Each connection of a caller may need one to a server. */
    private static final int DESCRIPTORS_PER_CONNECTION = 2;

    private static final int MIN_CONNECTIONS = 16;
    private static final long MIN_HELD_BYTES = 1024 * 1024;

    /** The limits that follow from the heap and the descriptors of this process. */
    public static MemorySettings defaults() {
        long heapBytes = Runtime.getRuntime().maxMemory();
        return new MemorySettings(
                heapBytes / HEAP_DIVISOR,
                defaultConnections(heapBytes),
                heapBytes / SERVER_HEAP_DIVISOR);
    }

    private static int defaultConnections(long heapBytes) {
        long byHeap = heapBytes / HEAP_BYTES_PER_CONNECTION;
        long byDescriptors = (maxDescriptors() - OTHER_DESCRIPTORS) / DESCRIPTORS_PER_CONNECTION;
        return (int) Math.max(MIN_CONNECTIONS, Math.min(byHeap, byDescriptors));
    }

    private static long maxDescriptors() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean os
                ? os.getMaxFileDescriptorCount()
                : Integer.MAX_VALUE;
    }

    /** Reads the limits that are stated; the others have their defaults. */
    static MemorySettings read(JsonObjectReader root) {
        MemorySettings defaults = defaults();
        return new MemorySettings(
                root.has("maxHeldBytes")
                        ? root.number("maxHeldBytes", MIN_HELD_BYTES, Long.MAX_VALUE)
                        : defaults.maxHeldBytes(),
                root.has("maxCallerConnections")
                        ? (int) root.number("maxCallerConnections", 1, Integer.MAX_VALUE)
                        : defaults.maxCallerConnections(),
                root.has("maxServerBytes")
                        ? root.number("maxServerBytes", 1, Long.MAX_VALUE)
                        : defaults.maxServerBytes());
    }
}
