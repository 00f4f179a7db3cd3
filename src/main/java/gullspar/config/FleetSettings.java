package gullspar.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * How a process takes part in the fleet, as the operator's file says in [fleet].
 *
 * @param name what it is called, the same after a restart; null for what the platform calls it
 * @param bind where it hears the others
 * @param advertise where the others reach it; null for where it is bound
 * @param seeds where others may be found
 * @param keyFile the keys that all share
 * @param zone where it runs, may be empty
 * @param intervalNs how often it asks one of the others whether he is there
 * @param windowNs whoever was there within it counts when it asks itself whether it is cut off
 * @param bytesPerSecond what it sends at the most
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
