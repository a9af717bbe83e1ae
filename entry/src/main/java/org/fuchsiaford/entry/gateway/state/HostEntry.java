package org.fuchsiaford.entry.gateway.state;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import org.fuchsiaford.fleet.HostRecord;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.peer.PeerAddress;

/** Reads registrations of entry hosts from the store. Stateless, hence thread-safe. */
final class HostEntry {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private HostEntry() {}

    /**
     * Reads a registration.
     *
     * @throws IOException if the value cannot be decoded
     * @throws IllegalArgumentException if it is no registration of this host, or names no addresses
     */
    static HostRecord read(HostId id, byte[] value) throws IOException {
        HostRecord record = MAPPER.readValue(value, HostRecord.class);
        if (record == null || !id.equals(record.id()) || record.failureDomain() == null) {
            throw new IllegalArgumentException("no registration of this host");
        }
        requireAddress(record.callerAddress());
        requireAddress(record.peerAddress());
        if (!Double.isFinite(record.cores())) {
            throw new IllegalArgumentException("the processor capacity is no number");
        }
        return record;
    }

    private static void requireAddress(String address) {
        if (address == null) {
            throw new IllegalArgumentException("an address is missing");
        }
        PeerAddress.parse(address);
    }
}
