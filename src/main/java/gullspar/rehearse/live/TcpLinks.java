package gullspar.rehearse.live;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The state of the TCP links between simulated machines and proxies: delay, loss, cuts. The simulated machines' ends
 * of the connections apply it, on real sockets. The kernel is not affected: an unreachable machine still accepts
 * connections.
 */
final class TcpLinks {
    /** Delay of a lost segment, as in virtual time. */
    private static final long RETRANSMIT_NS = 200_000_000L;

    /** The state of one direction. */
    private static final class Link {
        private long extraDelayNs;
        private double loss;
        private boolean cut;
    }

    private final Map<String, Link> links = new HashMap<>();
    private final Set<String> unreachable = new HashSet<>();
    private final Map<String, Set<TcpLinkHandler>> handlers = new HashMap<>();
    private final SplittableRandom random;

    TcpLinks(long seed) {
        this.random = new SplittableRandom(seed);
    }

    private Link link(String from, String to) {
        return links.computeIfAbsent(from + '>' + to, k -> new Link());
    }

    /** Sets a delay of all data from one machine to another; 0 removes it. */
    void setExtraDelayNs(String from, String to, long extraDelayNs) {
        link(from, to).extraDelayNs = extraDelayNs;
    }

    /** Sets the share of segments lost, 0 to 1; each loss costs a retransmission. */
    void setLoss(String from, String to, double share) {
        link(from, to).loss = share;
    }

    /** Holds all data from one machine to another, or releases it. */
    void setCut(String from, String to, boolean on) {
        link(from, to).cut = on;
        release(from);
        release(to);
    }

    /** Makes a machine unreachable, or reachable again; its connections are reset when it is reachable again. */
    void setUnreachable(String machine, boolean on) {
        if (on) {
            unreachable.add(machine);
        } else {
            unreachable.remove(machine);
            List.copyOf(handlers.getOrDefault(machine, Set.of())).forEach(TcpLinkHandler::reset);
        }
    }

    /** Resets the connections between two machines. */
    void reset(String a, String b) {
        List.copyOf(handlers.getOrDefault(a, Set.of())).stream()
                .filter(h -> b.equals(h.peer()))
                .forEach(TcpLinkHandler::reset);
        List.copyOf(handlers.getOrDefault(b, Set.of())).stream()
                .filter(h -> a.equals(h.peer()))
                .forEach(TcpLinkHandler::reset);
    }

    private void release(String machine) {
        List.copyOf(handlers.getOrDefault(machine, Set.of())).forEach(TcpLinkHandler::release);
    }

    void addHandler(TcpLinkHandler handler) {
        handlers.computeIfAbsent(handler.machine(), m -> new LinkedHashSet<>()).add(handler);
    }

    void removeHandler(TcpLinkHandler handler) {
        handlers.getOrDefault(handler.machine(), Set.of()).remove(handler);
    }

    /** Whether the link carries nothing at the moment. */
    boolean isBlocked(String from, String to) {
        Link link = links.get(from + '>' + to);
        return unreachable.contains(from) || unreachable.contains(to) || link != null && link.cut;
    }

    /** The additional delay of data sent now; a randomly lost segment adds the delay of a retransmission. */
    long drawExtraDelayNs(String from, String to) {
        Link link = links.get(from + '>' + to);
        if (link == null) {
            return 0;
        }
        return link.extraDelayNs + (link.loss > 0 && random.nextDouble() < link.loss ? RETRANSMIT_NS : 0);
    }
}
