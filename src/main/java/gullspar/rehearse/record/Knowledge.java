package gullspar.rehearse.record;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What each proxy knew at a moment, put together again from the lines of a decision log up to there. */
final class Knowledge {
    /** What one proxy knew of one node. */
    private static final class Node {
        private String state = "not listed";
        private String weight = "-";
        private int out;
        private String report = "no report";
        private long reportAt = -1;
        private String last = "none";
        private long lastAt = -1;
    }

    private final Map<String, Map<String, Node>> byProxy = new TreeMap<>();
    /** The attempts that are out: proxy, ticket and number. */
    private final Set<String> out = new HashSet<>();

    /** Takes in one line. */
    void take(Entry e) {
        Map<String, Node> nodes = byProxy.computeIfAbsent(e.who(), w -> new TreeMap<>());
        switch (e.what()) {
            case "list" -> list(nodes, e.text());
            case "Send" -> {
                out.add(e.who() + ' ' + e.field("t") + ' ' + e.field("a"));
                nodes.computeIfAbsent(e.field("n"), n -> new Node()).out++;
            }
            case "outcome" -> outcome(nodes, e);
            default -> {}
        }
    }

    private static void list(Map<String, Node> nodes, String text) {
        String[] words = text.split(" ");
        if (!words[1].equals("delta")) {
            nodes.values().forEach(n -> n.state = "not listed");
        }
        for (int i = 3; i < words.length; i++) {
            String[] parts = words[i].split(":");
            Node n = nodes.computeIfAbsent(parts[0], k -> new Node());
            n.state = parts[1];
            n.weight = parts[2];
        }
    }

    private void outcome(Map<String, Node> nodes, Entry e) {
        Node n = nodes.computeIfAbsent(e.field("n"), k -> new Node());
        if (out.remove(e.who() + ' ' + e.field("t") + ' ' + e.field("a"))) {
            n.out--;
        }
        String ms = String.format(Locale.ROOT, "%.1f ms", Long.parseLong(e.field("ns")) / 1e6);
        n.last = e.text().split(" ")[4] + " after " + ms;
        n.lastAt = e.at();
        if (!e.field("inflight").isEmpty()) {
            n.report = "inflight " + e.field("inflight") + ", util " + e.field("util") + ", eps " + e.field("eps");
            n.reportAt = e.at();
        }
    }

    /** What a proxy knows now, a line for each node. */
    List<String> of(String who, long now) {
        List<String> lines = new ArrayList<>();
        byProxy.getOrDefault(who, Map.of())
                .forEach((name, n) -> lines.add(String.format(
                                Locale.ROOT,
                                "%-8s %-10s weight %-6s out %-3d last %-24s %-9s %s %s",
                                name,
                                n.state,
                                n.weight,
                                n.out,
                                n.last,
                                age(n.lastAt, now),
                                n.report,
                                age(n.reportAt, now))
                        .stripTrailing()));
        return lines;
    }

    private static String age(long at, long now) {
        return at < 0 ? "" : String.format(Locale.ROOT, "(%.3f s)", (now - at) / 1e9);
    }
}
