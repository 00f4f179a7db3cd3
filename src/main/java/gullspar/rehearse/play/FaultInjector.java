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
    void pause(String proxy, boolean on);

    void slower(String from, String to, long byNs);

    void lossy(String from, String to, double share);

    void cut(String from, String to, boolean on);

    /** Resets the connections between two machines. */
    void reset(String from, String to);

    void vanish(String machine, boolean on);

    /**
     * From their next starts on the first of these has the second's address for the fleet, and so on, the
     * last the first's; one alone has a new one. Where a seed is among them, operators tell all proxies.
     */
    void move(List<String> ring);

    /** A second process under a proxy's name begins, or ends. */
    void twin(String proxy, boolean on);

    /** A proxy's operator gives it these of the fleet's keys, by number; the first is the one it uses. */
    void keys(String proxy, List<Integer> numbers);

    /** One datagram that nobody of the fleet sent reaches a proxy. */
    void forge(String proxy);

    /** A proxy speaks of so many that do not exist with each datagram; 0 ends it. */
    void mad(String proxy, int forEach);

    /** A trouble of the datagrams on a way between two proxies; 0 ends it. */
    void trouble(String from, String to, DatagramLink.Impairment t, double figure);
}
