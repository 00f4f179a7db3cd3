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
final class LiveWays {
    /** As in virtual time: what a lost segment waits for. */
    private static final long RETRANSMIT_NS = 200_000_000L;

    /** One way. */
    private static final class Way {
        private long extraNs;
        private double loss;
        private boolean cut;
    }

    private final Map<String, Way> ways = new HashMap<>();
    private final Set<String> vanished = new HashSet<>();
    private final Map<String, Set<LinkHandler>> handlers = new HashMap<>();
    private final SplittableRandom random;

    LiveWays(long seed) {
        this.random = new SplittableRandom(seed);
    }

    private Way way(String from, String to) {
        return ways.computeIfAbsent(from + '>' + to, k -> new Way());
    }

    void slower(String from, String to, long byNs) {
        way(from, to).extraNs = byNs;
    }

    void lossy(String from, String to, double share) {
        way(from, to).loss = share;
    }

    void cut(String from, String to, boolean on) {
        way(from, to).cut = on;
        release(from);
        release(to);
    }

    void vanish(String machine, boolean on) {
        if (on) {
            vanished.add(machine);
        } else {
            vanished.remove(machine);
            List.copyOf(handlers.getOrDefault(machine, Set.of())).forEach(LinkHandler::reset);
        }
    }

    void reset(String a, String b) {
        List.copyOf(handlers.getOrDefault(a, Set.of())).stream()
                .filter(h -> b.equals(h.peer()))
                .forEach(LinkHandler::reset);
        List.copyOf(handlers.getOrDefault(b, Set.of())).stream()
                .filter(h -> a.equals(h.peer()))
                .forEach(LinkHandler::reset);
    }

    private void release(String machine) {
        List.copyOf(handlers.getOrDefault(machine, Set.of())).forEach(LinkHandler::release);
    }

    void opened(LinkHandler h) {
        handlers.computeIfAbsent(h.machine(), m -> new LinkedHashSet<>()).add(h);
    }

    void closed(LinkHandler h) {
        handlers.getOrDefault(h.machine(), Set.of()).remove(h);
    }

    /** Does nothing pass for now? */
    boolean holds(String from, String to) {
        Way w = ways.get(from + '>' + to);
        return vanished.contains(from) || vanished.contains(to) || w != null && w.cut;
    }

    /** How much longer than by itself something takes that sets out now. */
    long extraNs(String from, String to) {
        Way w = ways.get(from + '>' + to);
        if (w == null) {
            return 0;
        }
        return w.extraNs + (w.loss > 0 && random.nextDouble() < w.loss ? RETRANSMIT_NS : 0);
    }
}
