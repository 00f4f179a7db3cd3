package gullspar.rehearse.record;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Reconstructs from the lines of a decision log what each proxy process knew of the nodes at a given time. */
final class ProcessStateReplay {
    /** What one process knew of one node. */
    private static final class NodeState {
        private String listedState = "not listed";
        private String weight = "-";
        private int outstanding;
        private String lastReport = "no report";
        private long lastReportAtNs = -1;
        private String lastOutcome = "none";
        private long lastOutcomeAtNs = -1;
    }

    private final Map<String, Map<String, NodeState>> nodesByProcess = new TreeMap<>();
    /** The attempts without a response yet: process, ticket and attempt number. */
    private final Set<String> outstandingAttempts = new HashSet<>();

    /** Updates the state with the next entry of the log. */
    void apply(LogEntry entry) {
        Map<String, NodeState> nodes = nodesByProcess.computeIfAbsent(entry.process(), w -> new TreeMap<>());
        switch (entry.eventName()) {
            case "list" -> applyList(nodes, entry.text());
            case "Send" -> {
                outstandingAttempts.add(entry.process() + ' ' + entry.field("t") + ' ' + entry.field("a"));
                nodes.computeIfAbsent(entry.field("n"), n -> new NodeState()).outstanding++;
            }
            case "outcome" -> applyOutcome(nodes, entry);
            default -> {}
        }
    }

    private static void applyList(Map<String, NodeState> nodes, String text) {
        String[] words = text.split(" ");
        if (!words[1].equals("delta")) {
            nodes.values().forEach(node -> node.listedState = "not listed");
        }
        for (int i = 3; i < words.length; i++) {
            String[] parts = words[i].split(":");
            NodeState node = nodes.computeIfAbsent(parts[0], k -> new NodeState());
            node.listedState = parts[1];
            node.weight = parts[2];
        }
    }

    private void applyOutcome(Map<String, NodeState> nodes, LogEntry entry) {
        NodeState node = nodes.computeIfAbsent(entry.field("n"), k -> new NodeState());
        if (outstandingAttempts.remove(entry.process() + ' ' + entry.field("t") + ' ' + entry.field("a"))) {
            node.outstanding--;
        }
        String duration = String.format(Locale.ROOT, "%.1f ms", Long.parseLong(entry.field("ns")) / 1e6);
        node.lastOutcome = entry.text().split(" ")[4] + " after " + duration;
        node.lastOutcomeAtNs = entry.atNs();
        if (!entry.field("inflight").isEmpty()) {
            node.lastReport = "inflight " + entry.field("inflight") + ", util " + entry.field("util") + ", eps "
                    + entry.field("eps");
            node.lastReportAtNs = entry.atNs();
        }
    }

    /** Formats what a process knows at the time, one line per node. */
    List<String> describe(String process, long nowNs) {
        List<String> lines = new ArrayList<>();
        nodesByProcess
                .getOrDefault(process, Map.of())
                .forEach((name, node) -> lines.add(String.format(
                                Locale.ROOT,
                                "%-8s %-10s weight %-6s out %-3d last %-24s %-9s %s %s",
                                name,
                                node.listedState,
                                node.weight,
                                node.outstanding,
                                node.lastOutcome,
                                formatAge(node.lastOutcomeAtNs, nowNs),
                                node.lastReport,
                                formatAge(node.lastReportAtNs, nowNs))
                        .stripTrailing()));
        return lines;
    }

    private static String formatAge(long atNs, long nowNs) {
        return atNs < 0 ? "" : String.format(Locale.ROOT, "(%.3f s)", (nowNs - atNs) / 1e9);
    }
}
