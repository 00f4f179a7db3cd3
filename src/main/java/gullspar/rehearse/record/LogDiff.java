package gullspar.rehearse.record;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Compares two decision logs: where they part, the first decision that differs, what each side knew then. */
public final class LogDiff {
    /** Decisions that are looked through for one that differs once the logs have parted. */
    private static final int MOST_DECISIONS = 1_000_000;

    /** A file that is no decision log, with the place. */
    public static final class NoLogException extends Exception {
        private static final long serialVersionUID = 1L;

        NoLogException(Path file, long line, String what) {
            super(file + ":" + line + ":1: " + what);
        }
    }

    /** One side of the comparison. */
    private static final class Side {
        private final Path file;
        private final BufferedReader in;
        private final Knowledge knowledge = new Knowledge();
        private long number;

        Side(Path file) throws IOException {
            this.file = file;
            this.in = Files.newBufferedReader(file);
        }

        /** The next line, not yet taken in; null at the end. */
        Entry next() throws IOException, NoLogException {
            String line = in.readLine();
            if (line == null) {
                return null;
            }
            number++;
            Entry e = Entry.parse(line);
            if (e == null) {
                throw new NoLogException(file, number, "this is no line of a decision log");
            }
            return e;
        }

        /** Goes on from an entry to the next decision, taking in what comes before it; null at the end. */
        Entry decision(Entry from) throws IOException, NoLogException {
            Entry e = from;
            while (e != null && !e.decision()) {
                knowledge.take(e);
                e = next();
            }
            return e;
        }
    }

    private LogDiff() {}

    /** What to print; empty if the two are the same. */
    public static List<String> of(Path a, Path b) throws IOException, NoLogException {
        Side left = new Side(a);
        Side right = new Side(b);
        try (left.in;
                right.in) {
            Entry l = left.next();
            Entry r = right.next();
            while (l != null && l.equals(r)) {
                left.knowledge.take(l);
                right.knowledge.take(r);
                l = left.next();
                r = right.next();
            }
            if (l == null && r == null) {
                return List.of();
            }
            List<String> out = new ArrayList<>();
            out.add("The logs part at line " + Math.max(left.number, right.number) + ":");
            out.add("  A  " + shown(l));
            out.add("  B  " + shown(r));
            decisions(left, l, right, r, out);
            return out;
        }
    }

    private static String shown(Entry e) {
        return e == null ? "(ends)" : String.format(Locale.ROOT, "%.6f s  %s", e.at() / 1e9, e.who() + " " + e.text());
    }

    private static void decisions(Side left, Entry fromLeft, Side right, Entry fromRight, List<String> out)
            throws IOException, NoLogException {
        Entry l = left.decision(fromLeft);
        Entry r = right.decision(fromRight);
        for (int n = 0; l != null && l.equals(r) && n < MOST_DECISIONS; n++) {
            left.knowledge.take(l);
            right.knowledge.take(r);
            l = left.decision(left.next());
            r = right.decision(right.next());
        }
        if (l == null && r == null || l != null && l.equals(r)) {
            out.add("What was told differs from there on, no decision does.");
            return;
        }
        out.add("The first decision that differs:");
        out.add("  A  line " + left.number + ": " + shown(l));
        out.add("  B  line " + right.number + ": " + shown(r));
        knew("A", left, l, out);
        knew("B", right, r, out);
    }

    private static void knew(String name, Side side, Entry e, List<String> out) {
        if (e != null) {
            out.add(name + ": what " + e.who() + " knew then:");
            side.knowledge.of(e.who(), e.at()).forEach(line -> out.add("  " + line));
        }
    }
}
