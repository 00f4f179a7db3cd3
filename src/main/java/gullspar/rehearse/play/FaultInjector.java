package gullspar.rehearse.play;

import gullspar.rehearse.net.DatagramLink;
import java.util.List;

/**
 * Applies faults to the proxies and to the links between machines. There is one implementation for virtual time
 * and one for live days.
 */
public interface FaultInjector {
    /** Kills a proxy and starts it again after downS seconds. */
    void kill(String proxy, double downS);

    /** Stops a proxy gracefully and starts it again downS seconds after it has ended. */
    void stop(String proxy, double downS);

    /** Makes a proxy reload its configuration, with the current address of discovery. */
    void reload(String proxy);

    /** Pauses a proxy's process, or resumes it. */
    void setPaused(String proxy, boolean on);

    /** Sets a delay added to the base delay of a link; 0 removes it. */
    void setExtraDelay(String from, String to, long extraNs);

    /** Sets the share of segments and datagrams that a link loses, 0 to 1. */
    void setLoss(String from, String to, double share);

    /** Cuts a link in this direction, or restores it. */
    void cut(String from, String to, boolean on);

    /** Resets the connections between two machines. */
    void resetConnections(String from, String to);

    /** Makes a machine unreachable, or reachable again. */
    void setUnreachable(String machine, boolean on);

    /**
     * From their next start on, each of these proxies has the fleet address of the next one in the list, and the
     * last that of the first; a single proxy gets a new address. If the address of a seed changes, all proxies get
     * the new list of seeds.
     */
    void reassignAddresses(List<String> ring);

    /** Starts or ends a second process under a proxy's name. */
    void setTwinRunning(String proxy, boolean on);

    /** Sets the fleet keys of a proxy, by number: it seals with the first and accepts all of them. */
    void setKeys(String proxy, List<Integer> keyNumbers);

    /** Delivers to a proxy one datagram that no member of the fleet sent. */
    void sendForgedDatagram(String proxy);

    /** Makes a proxy announce that many nonexistent members with each of its datagrams; 0 ends it. */
    void setFalseRumors(String proxy, int perDatagram);

    /** Sets an impairment of the datagrams on a link between two proxies; value 0 ends it. */
    void setImpairment(String from, String to, DatagramLink.Impairment impairment, double value);
}
