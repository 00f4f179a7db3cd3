package gullspar.rehearse.record;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Compares two decision logs: the first line that differs, the first decision that differs, and what each
 * side knew of the nodes at that decision.
 */
public final class LogDiff {
    /** The search for a differing decision ends after this many equal ones past the first difference. */
    private static final int MAX_EQUAL_DECISIONS = 1_000_000;

    /** Thrown for a file that is not a decision log; the message has the position. */
    public static final class MalformedLogException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedLogException(Path file, long line, String message) {
            super(file + ":" + line + ":1: " + message);
        }
    }

    /** Reads one of the two logs and replays its entries. */
    private static final class LogReader {
        private final Path file;
        private final BufferedReader in;
        private final ProcessStateReplay replay = new ProcessStateReplay();
        private long lineNumber;

        LogReader(Path file) throws IOException {
            this.file = file;
            this.in = Files.newBufferedReader(file);
        }

        /** Returns the next entry without applying it; null at the end. */
        LogEntry nextEntry() throws IOException, MalformedLogException {
            String line = in.readLine();
            if (line == null) {
                return null;
            }
            lineNumber++;
            LogEntry entry = LogEntry.parse(line);
            if (entry == null) {
                throw new MalformedLogException(file, lineNumber, "not a line of a decision log");
            }
            return entry;
        }

        /** Returns the first decision from an entry on and applies the entries before it; null at the end. */
        LogEntry skipToDecision(LogEntry start) throws IOException, MalformedLogException {
            LogEntry entry = start;
            while (entry != null && !entry.isDecision()) {
                replay.apply(entry);
                entry = nextEntry();
            }
            return entry;
        }
    }

    private LogDiff() {}

    /** Returns the lines to print; empty if the logs are identical. */
    public static List<String> compare(Path a, Path b) throws IOException, MalformedLogException {
        LogReader left = new LogReader(a);
        LogReader right = new LogReader(b);
        try (left.in;
                right.in) {
            LogEntry leftEntry = left.nextEntry();
            LogEntry rightEntry = right.nextEntry();
            while (leftEntry != null && leftEntry.equals(rightEntry)) {
                left.replay.apply(leftEntry);
                right.replay.apply(rightEntry);
                leftEntry = left.nextEntry();
                rightEntry = right.nextEntry();
            }
            if (leftEntry == null && rightEntry == null) {
                return List.of();
            }
            List<String> lines = new ArrayList<>();
            lines.add("The first difference is at line " + Math.max(left.lineNumber, right.lineNumber) + ":");
            lines.add("  A  " + format(leftEntry));
            lines.add("  B  " + format(rightEntry));
            compareDecisions(left, leftEntry, right, rightEntry, lines);
            return lines;
        }
    }

    private static String format(LogEntry entry) {
        return entry == null
                ? "(ends)"
                : String.format(Locale.ROOT, "%.6f s  %s", entry.atNs() / 1e9, entry.process() + " " + entry.text());
    }

    private static void compareDecisions(
            LogReader left, LogEntry leftStart, LogReader right, LogEntry rightStart, List<String> lines)
            throws IOException, MalformedLogException {
        LogEntry leftDecision = left.skipToDecision(leftStart);
        LogEntry rightDecision = right.skipToDecision(rightStart);
        for (int n = 0; leftDecision != null && leftDecision.equals(rightDecision) && n < MAX_EQUAL_DECISIONS; n++) {
            left.replay.apply(leftDecision);
            right.replay.apply(rightDecision);
            leftDecision = left.skipToDecision(left.nextEntry());
            rightDecision = right.skipToDecision(right.nextEntry());
        }
        if (leftDecision == null && rightDecision == null
                || leftDecision != null && leftDecision.equals(rightDecision)) {
            lines.add("Only inputs differ from that line on; no decision that differs was found.");
            return;
        }
        lines.add("The first decision that differs:");
        lines.add("  A  line " + left.lineNumber + ": " + format(leftDecision));
        lines.add("  B  line " + right.lineNumber + ": " + format(rightDecision));
        addKnownState("A", left, leftDecision, lines);
        addKnownState("B", right, rightDecision, lines);
    }

    private static void addKnownState(String label, LogReader log, LogEntry decision, List<String> lines) {
        if (decision != null) {
            lines.add(label + ": what " + decision.process() + " knew then:");
            log.replay.describe(decision.process(), decision.atNs()).forEach(line -> lines.add("  " + line));
        }
    }
}
