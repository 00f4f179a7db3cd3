package gullspar.rehearse.play;

import gullspar.rehearse.net.DatagramLink;
import java.util.List;

/**
 * What the timeline can do to the proxies and to the ways between machines: this differs by how a day is
 * played.
 */
public interface FaultInjector {
    /** Ends a proxy at once, and starts it again after so long. */
    void kill(String proxy, double downS);

    /** Tells a proxy to end, and starts it again so long after it has. */
    void stop(String proxy, double downS);

    /** Gives a proxy its configuration anew, with the address of discovery as it is now. */
    void reload(String proxy);

    /** Makes a proxy stand still, or go on. */
    void setPaused(String proxy, boolean on);

    void setExtraDelay(String from, String to, long extraNs);

    void setLoss(String from, String to, double share);

    void cut(String from, String to, boolean on);

    /** Resets the connections between two machines. */
    void resetConnections(String from, String to);

    void setUnreachable(String machine, boolean on);

    /**
     * From their next starts on the first of these has the second's address for the fleet, and so on, the
     * last the first's; one alone has a new one. Where a seed is among them, operators tell all proxies.
     */
    void reassignAddresses(List<String> ring);

    /** A second process under a proxy's name begins, or ends. */
    void setTwinRunning(String proxy, boolean on);

    /** A proxy's operator gives it these of the fleet's keys, by number; the first is the one it uses. */
    void setKeys(String proxy, List<Integer> keyNumbers);

    /** One datagram that nobody of the fleet sent reaches a proxy. */
    void sendForgedDatagram(String proxy);

    /** A proxy speaks of so many that do not exist with each datagram; 0 ends it. */
    void setFalseRumors(String proxy, int perDatagram);

    /** A trouble of the datagrams on a way between two proxies; 0 ends it. */
    void setImpairment(String from, String to, DatagramLink.Impairment impairment, double value);
}
