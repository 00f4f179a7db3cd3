package gullspar.rehearse.live;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The ways between the stand-ins and the proxies on real sockets, as the stand-ins' ends let them seem:
 * slower, lossy, cut. What goes on in the kernel is beyond them: a machine that has vanished still takes
 * connections.
 */
final class TcpLinks {
    /** As in virtual time: what a lost segment waits for. */
    private static final long RETRANSMIT_NS = 200_000_000L;

    /** One way. */
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

    void setExtraDelayNs(String from, String to, long extraDelayNs) {
        link(from, to).extraDelayNs = extraDelayNs;
    }

    void setLoss(String from, String to, double share) {
        link(from, to).loss = share;
    }

    void setCut(String from, String to, boolean on) {
        link(from, to).cut = on;
        release(from);
        release(to);
    }

    void setUnreachable(String machine, boolean on) {
        if (on) {
            unreachable.add(machine);
        } else {
            unreachable.remove(machine);
            List.copyOf(handlers.getOrDefault(machine, Set.of())).forEach(TcpLinkHandler::reset);
        }
    }

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

    /** Does nothing pass for now? */
    boolean isBlocked(String from, String to) {
        Link link = links.get(from + '>' + to);
        return unreachable.contains(from) || unreachable.contains(to) || link != null && link.cut;
    }

    /** How much longer than by itself something takes that sets out now. */
    long drawExtraDelayNs(String from, String to) {
        Link link = links.get(from + '>' + to);
        if (link == null) {
            return 0;
        }
        return link.extraDelayNs + (link.loss > 0 && random.nextDouble() < link.loss ? RETRANSMIT_NS : 0);
    }
}
