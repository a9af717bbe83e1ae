package org.fuchsiaford.selection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.routing.EngineCapacity;

/** Guards against services with few engines whose prompts all wait for one prefill engine. */
class TimedEnginePoolTest {
    private static final ServiceId SERVICE = new ServiceId("service");
    private static final EngineCapacity CAPACITY = new EngineCapacity(8, 40_000, 500, 11, 4, 5, 6);

    private static EngineCapacity capacity(int engines) {
        EnginePool pool =
                new EnginePool() {
                    @Override
                    public List<LiveServer> usable(ServiceId service, long nowNanos) {
                        return List.of();
                    }

                    @Override
                    public EngineCapacity capacity(ServiceId service) {
                        return CAPACITY;
                    }
                };
        return new TimedEnginePool(pool, service -> engines, 10).capacity(SERVICE);
    }

    @Example
    void theTokensOfEventsCountFromTheFewestEnginesOn() {
        assertThat(capacity(10)).isEqualTo(CAPACITY);
        assertThat(capacity(9)).isEqualTo(CAPACITY.withoutEventTokens());
        assertThat(capacity(9).eventTokens()).isZero();
        assertThat(capacity(9).reconfigureMillis()).isEqualTo(CAPACITY.reconfigureMillis());
    }
}
