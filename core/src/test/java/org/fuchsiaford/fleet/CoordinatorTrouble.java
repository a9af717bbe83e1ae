package org.fuchsiaford.fleet;

import java.util.stream.IntStream;

/**
 * What happens to the coordinators, hosts 0 to 2, or to the connections between hosts, in tests in
 * virtual time.
 */
public enum CoordinatorTrouble {
    NONE,
    HOSTS_CUT_IN_TWO,
    A_TENTH_OF_THE_HOSTS_CUT_OFF_EACH,
    COORDINATOR_RESTARTED,
    COORDINATOR_SILENT,
    ALL_COORDINATORS_RESTARTED,
    ALL_COORDINATORS_SILENT,
    ALL_HOSTS_RESTARTED,
    HOSTS_DISAGREE_ABOUT_THE_COORDINATOR,
    HOSTS_CHANGE_THEIR_COORDINATOR_EVERY_SECOND;

    /** The number of coordinators. */
    public static final int COORDINATORS = 3;

    /** Returns whether a host reaches another one of the given number of hosts. */
    public boolean reaches(int from, int to, int hosts) {
        int connected = hosts - hosts / 10;
        return from == to
                || switch (this) {
                    case HOSTS_CUT_IN_TWO -> from % 2 == to % 2;
                    case A_TENTH_OF_THE_HOSTS_CUT_OFF_EACH -> from < connected && to < connected;
                    case COORDINATOR_SILENT -> from != 0 && to != 0;
                    case ALL_COORDINATORS_SILENT -> from >= COORDINATORS && to >= COORDINATORS;
                    default -> true;
                };
    }

    /**
     * Returns the coordinator that a host asks, or the host itself.
     *
     * @param second the time since the start, in seconds
     */
    public int coordinatorOf(int host, int hosts, int second) {
        int first =
                switch (this) {
                    case HOSTS_DISAGREE_ABOUT_THE_COORDINATOR -> host % 2;
                    case HOSTS_CHANGE_THEIR_COORDINATOR_EVERY_SECOND -> second % COORDINATORS;
                    default -> 0;
                };
        return IntStream.concat(IntStream.of(first), IntStream.range(0, COORDINATORS))
                .filter(coordinator -> coordinator < hosts && reaches(host, coordinator, hosts))
                .findFirst()
                .orElse(host);
    }

    /** Returns how many hosts, from the first, restart when the trouble begins. */
    public int restarted(int hosts) {
        return switch (this) {
            case COORDINATOR_RESTARTED -> 1;
            case ALL_COORDINATORS_RESTARTED -> Math.min(COORDINATORS, hosts);
            case ALL_HOSTS_RESTARTED -> hosts;
            default -> 0;
        };
    }
}
