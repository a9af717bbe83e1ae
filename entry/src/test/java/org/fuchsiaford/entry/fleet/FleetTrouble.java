package org.fuchsiaford.entry.fleet;

import java.util.List;

/** What fails in a fleet until the end of a test. */
enum FleetTrouble {
    NONE,
    STORE_REFUSES_ONE_HOST,
    STORE_REFUSES_ALL_COORDINATORS,
    STORE_REFUSES_ALL_HOSTS_BUT_ONE,
    HOSTS_CUT_IN_TWO,
    HOSTS_CUT_IN_TWO_AND_STORE_REFUSES_SOME,
    ONE_HOST_CUT_OFF_FROM_ALL_HOSTS,
    MESSAGES_LOST,
    ALL_HOSTS_KILLED_BEFORE;

    /** Lets it happen. Returns the addresses of the hosts that the store refuses. */
    List<String> begin(FakeGatewayFleet fleet) {
        List<String> addresses = fleet.addresses();
        List<String> third = addresses.subList(0, addresses.size() / 3);
        List<String> refused = refused(fleet);
        refused.forEach(address -> fleet.network().cut(address, FakeNetwork.STORE));
        switch (this) {
            case HOSTS_CUT_IN_TWO, HOSTS_CUT_IN_TWO_AND_STORE_REFUSES_SOME ->
                    cutFromOthers(fleet, third);
            case ONE_HOST_CUT_OFF_FROM_ALL_HOSTS -> cutFromOthers(fleet, addresses.subList(0, 1));
            case MESSAGES_LOST -> fleet.network().setFaultRate(0.1);
            case ALL_HOSTS_KILLED_BEFORE -> {
                addresses.forEach(fleet::kill);
                addresses.forEach(fleet::start);
            }
            default -> {}
        }
        return refused;
    }

    private List<String> refused(FakeGatewayFleet fleet) {
        List<String> addresses = fleet.addresses();
        return switch (this) {
            case STORE_REFUSES_ONE_HOST -> addresses.subList(0, 1);
            case STORE_REFUSES_ALL_COORDINATORS ->
                    fleet.hosts().stream()
                            .filter(FakeGateway::isCoordinator)
                            .map(FakeGateway::address)
                            .toList();
            case STORE_REFUSES_ALL_HOSTS_BUT_ONE -> addresses.subList(1, addresses.size());
            case HOSTS_CUT_IN_TWO_AND_STORE_REFUSES_SOME ->
                    addresses.subList(1, addresses.size() / 2);
            default -> List.of();
        };
    }

    private static void cutFromOthers(FakeGatewayFleet fleet, List<String> group) {
        fleet.addresses().stream()
                .filter(other -> !group.contains(other))
                .forEach(other -> group.forEach(a -> fleet.network().cut(a, other)));
    }
}
