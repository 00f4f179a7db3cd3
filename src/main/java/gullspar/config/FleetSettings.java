package gullspar.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * The settings of a process as a member of the fleet, from [fleet] in the operators' file.
 *
 * @param name the member's name, the same after a restart; null for the name that the platform gives it
 * @param bind the local address for messages of other members
 * @param advertise the address at which other members reach it; null for the bound address
 * @param seeds addresses of members to contact first
 * @param keyFile the keys that all members share
 * @param zone the zone in which it runs, may be empty
 * @param probeIntervalNs the time between probes of other members
 * @param isolationWindowNs members seen within it count when the process checks whether it is cut off
 * @param maxBytesPerSecond the limit of what it sends; 0 for the default
 */
public record FleetSettings(
        String name,
        InetSocketAddress bind,
        InetSocketAddress advertise,
        List<InetSocketAddress> seeds,
        Path keyFile,
        String zone,
        long probeIntervalNs,
        long isolationWindowNs,
        int maxBytesPerSecond) {}
