package org.fuchsiaford.entry.gateway.state;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.registry.SoftwareVersion;
import org.fuchsiaford.store.StoreEntry;
import org.fuchsiaford.stream.ServedVersions;

/**
 * Reads the software versions that serve the streams of each service from the store, and knows
 * which records a restored store has lost. Thread-safe.
 */
final class ServedVersionsReader {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final TypeReference<List<SoftwareVersion>> VERSIONS = new TypeReference<>() {};

    private final ServedVersions mVersions = new ServedVersions();
    private final Set<ServiceId> mIncomplete = ConcurrentHashMap.newKeySet();

    ServedVersions versions() {
        return mVersions;
    }

    /** Returns whether the store has lost versions of a service that this host still knows. */
    boolean isIncomplete(ServiceId service) {
        return mIncomplete.contains(service);
    }

    /**
     * Applies a record. In a new era of the store it may be an older copy, so known versions stay.
     */
    void put(ServiceId service, StoreEntry entry, boolean isOfNewEra) throws IOException {
        List<SoftwareVersion> versions = MAPPER.readValue(entry.value(), VERSIONS);
        Set<SoftwareVersion> known = new HashSet<>(isOfNewEra ? mVersions.of(service) : List.of());
        known.addAll(versions);
        mVersions.replace(service, List.copyOf(known));
        if (known.size() > Set.copyOf(versions).size()) {
            mIncomplete.add(service);
        } else {
            mIncomplete.remove(service);
        }
    }

    /**
     * Removes a record.
     *
     * @param isLost whether the store has lost it, since it was restored from a copy
     */
    void remove(ServiceId service, boolean isLost) {
        if (isLost) {
            mIncomplete.add(service);
        } else {
            mIncomplete.remove(service);
            mVersions.remove(service);
        }
    }
}
