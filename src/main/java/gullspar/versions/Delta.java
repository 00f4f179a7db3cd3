package gullspar.versions;

import com.github.difflib.DiffUtils;
import com.github.difflib.algorithm.myers.MyersDiffWithLinearSpace;
import com.github.difflib.patch.AbstractDelta;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The line-by-line difference from one version to the next. The checksum of the result verifies that it was
 * applied to the right text.
 *
 * @param to the resulting version; its parent is the version that the delta applies to
 * @param hunks in order of their lines, not overlapping
 */
public record Delta(Version to, List<Hunk> hunks) {
    /**
     * A replaced range of lines.
     *
     * @param firstLine the first replaced line in the previous text, counted from 0
     * @param removed number of lines removed
     * @param lines the lines inserted in their place
     */
    public record Hunk(int firstLine, int removed, List<String> lines) {}

    /** A changed region with more lines is replaced as a whole: a line diff could take seconds. */
    private static final int MAX_COMPARED_LINES = 4000;

    private static final int HUNK_OVERHEAD_BYTES = 12;

    /** Computes the delta from a text to a document. */
    public static Delta between(String from, Document to) {
        List<String> a = lines(from);
        List<String> b = lines(to.text());
        int head = 0;
        int shorter = Math.min(a.size(), b.size());
        while (head < shorter && a.get(head).equals(b.get(head))) {
            head++;
        }
        int tail = 0;
        while (tail < shorter - head && a.get(a.size() - 1 - tail).equals(b.get(b.size() - 1 - tail))) {
            tail++;
        }
        return new Delta(to.version(), hunks(a.subList(head, a.size() - tail), b.subList(head, b.size() - tail), head));
    }

    private static List<Hunk> hunks(List<String> a, List<String> b, int at) {
        if (a.isEmpty() && b.isEmpty()) {
            return List.of();
        }
        if (a.isEmpty() || b.isEmpty() || a.size() + b.size() > MAX_COMPARED_LINES) {
            return List.of(new Hunk(at, a.size(), List.copyOf(b)));
        }
        List<Hunk> hunks = new ArrayList<>();
        for (AbstractDelta<String> d :
                DiffUtils.diff(a, b, new MyersDiffWithLinearSpace<>(), null).getDeltas()) {
            append(
                    hunks,
                    new Hunk(
                            at + d.getSource().getPosition(),
                            d.getSource().size(),
                            List.copyOf(d.getTarget().getLines())));
        }
        return List.copyOf(hunks);
    }

    /** Appends a hunk, merging it with an adjacent one: the library reports a replacement as two deltas. */
    private static void append(List<Hunk> hunks, Hunk h) {
        Hunk last = hunks.isEmpty() ? null : hunks.get(hunks.size() - 1);
        if (last == null || last.firstLine + last.removed != h.firstLine) {
            hunks.add(h);
            return;
        }
        List<String> lines = new ArrayList<>(last.lines);
        lines.addAll(h.lines);
        hunks.set(hunks.size() - 1, new Hunk(last.firstLine, last.removed + h.removed, List.copyOf(lines)));
    }

    private static List<String> lines(String text) {
        return Arrays.asList(text.split("\n", -1));
    }

    /** Applies deltas in order; throws MismatchException if they do not match the document. */
    public static Document apply(Document from, List<Delta> deltas) throws MismatchException {
        String text = from.text();
        Version v = from.version();
        for (Delta d : deltas) {
            if (!d.to.follows(v)) {
                throw new MismatchException("version " + d.to + " does not follow " + v);
            }
            text = d.applyTo(text);
            v = d.to;
        }
        return Document.verified(v, text);
    }

    /**
     * Copies ranges rather than splitting into lines, because a proxy does this for each change to a text of a
     * million characters. Every line is treated as ending in a line feed; the last one is removed at the end.
     */
    private String applyTo(String from) throws MismatchException {
        StringBuilder to = new StringBuilder(from.length() + estimatedBytes());
        int line = 0;
        int start = 0;
        for (Hunk h : hunks) {
            int copyEnd = skipLines(from, start, h.firstLine - line);
            copyRange(from, start, copyEnd, to);
            h.lines.forEach(l -> to.append(l).append('\n'));
            start = skipLines(from, copyEnd, h.removed);
            line = h.firstLine + h.removed;
        }
        copyRange(from, start, from.length() + 1, to);
        if (to.length() == 0) {
            throw new MismatchException("delta leaves no line");
        }
        to.setLength(to.length() - 1);
        return to.toString();
    }

    /** Returns the offset after skipping that many lines; text length + 1 past the last line. */
    private static int skipLines(String text, int start, int lines) throws MismatchException {
        int at = start;
        for (int i = 0; i < lines && at <= text.length(); i++) {
            int feed = text.indexOf('\n', at);
            at = feed < 0 ? text.length() + 1 : feed + 1;
            if (feed < 0 && i < lines - 1) {
                throw new MismatchException("delta refers to a line that is not there");
            }
        }
        if (lines < 0 || lines > 0 && start > text.length()) {
            throw new MismatchException("delta refers to a line that is not there");
        }
        return at;
    }

    private static void copyRange(String from, int start, int end, StringBuilder to) {
        if (start <= from.length()) {
            to.append(from, start, Math.min(end, from.length()));
            if (end > from.length()) {
                to.append('\n');
            }
        }
    }

    /** Estimates the compressed size on the wire: checksums do not compress, lines compress by half. */
    public int estimatedBytes() {
        int lines = 0;
        for (Hunk h : hunks) {
            lines += HUNK_OVERHEAD_BYTES;
            for (String line : h.lines) {
                lines += line.length() + 2;
            }
        }
        return Checksum.LENGTH_BYTES + HUNK_OVERHEAD_BYTES + lines / 2;
    }
}
