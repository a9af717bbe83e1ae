package org.fuchsiaford.entry.gateway;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import org.fuchsiaford.entry.gateway.forward.CallerConnections;
import org.fuchsiaford.entry.gateway.forward.RequestMemory;
import org.fuchsiaford.entry.gateway.forward.ResponseMemory;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.metrics.MemoryMetrics;
import org.fuchsiaford.hostmemory.ConnectionLimit;
import org.fuchsiaford.hostmemory.MemoryAccount;
import org.fuchsiaford.hostmemory.ServerByteLimit;
import org.fuchsiaford.time.Ticker;

/**
 * The components that bound what a host holds for its callers; all of them use one account.
 *
 * @param requests the bodies of requests, and responses while they are sent
 * @param responses the responses that are kept until they are complete
 * @param connections the connections of callers and the heads on them
 * @param serverBytes the bytes in progress at each server
 */
record HostMemory(
        RequestMemory requests,
        ResponseMemory responses,
        CallerConnections connections,
        ServerByteLimit serverBytes) {

    /** Creates the components and registers their metrics. */
    static HostMemory create(
            GatewaySettings settings, MetricRegistry registry, DecisionLog log, Ticker ticker) {
        MemorySettings limits = settings.memory();
        MemoryAccount account = new MemoryAccount(limits.maxHeldBytes());
        ConnectionLimit<Channel> connections = new ConnectionLimit<>(limits.maxCallerConnections());
        MemoryMetrics.register(registry, account, connections);
        return new HostMemory(
                new RequestMemory(account, ticker),
                new ResponseMemory(settings.maxResponseBytes(), account, ticker),
                new CallerConnections(account, connections, log, ticker),
                new ServerByteLimit(limits.maxServerBytes()));
    }
}
