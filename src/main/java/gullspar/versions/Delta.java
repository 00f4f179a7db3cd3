package gullspar.versions;

import com.github.difflib.DiffUtils;
import com.github.difflib.algorithm.myers.MyersDiffWithLinearSpace;
import com.github.difflib.patch.AbstractDelta;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * What became of a text from one version to the next, line by line. The checksum of the result says whether
 * it was applied to the right text.
 *
 * @param to the version that it makes; its parent is the one that it is applied to
 * @param hunks from the top to the bottom, none over another
 */
public record Delta(Version to, List<Hunk> hunks) {
    /**
     * Lines that are replaced.
     *
     * @param at the first of them in the former text, from 0
     * @param removed how many go
     * @param lines what stands there instead
     */
    public record Hunk(int firstLine, int removed, List<String> lines) {}

    /** Middles of more lines than that are replaced as one: comparing them could take seconds. */
    private static final int MAX_COMPARED_LINES = 4000;

    private static final int HUNK_OVERHEAD_BYTES = 12;

    /** The change from one text to the version whose text is the other. */
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

    /** The library tells of lines that go and of those that come in their place one after the other. */
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

    /** The text that the changes make of another, in their order; a MismatchException if they don't fit. */
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
     * A proxy does this for each change to a text of a million characters: it is copied in pieces, not taken
     * apart into lines. Every line counts as ending in a line feed, and the last one's goes again.
     */
    private String applyTo(String from) throws MismatchException {
        StringBuilder to = new StringBuilder(from.length() + estimatedBytes());
        int line = 0;
        int start = 0;
        for (Hunk h : hunks) {
            int at = skipLines(from, start, h.firstLine - line);
            copyRange(from, start, at, to);
            h.lines.forEach(l -> to.append(l).append('\n'));
            start = skipLines(from, at, h.removed);
            line = h.firstLine + h.removed;
        }
        copyRange(from, start, from.length() + 1, to);
        if (to.length() == 0) {
            throw new MismatchException("a change that leaves no line");
        }
        to.setLength(to.length() - 1);
        return to.toString();
    }

    /** Where so many lines further begin; one past the end of the text behind the last one. */
    private static int skipLines(String text, int start, int lines) throws MismatchException {
        int at = start;
        for (int i = 0; i < lines && at <= text.length(); i++) {
            int feed = text.indexOf('\n', at);
            at = feed < 0 ? text.length() + 1 : feed + 1;
            if (feed < 0 && i < lines - 1) {
                throw new MismatchException("a change at a line that is not there");
            }
        }
        if (lines < 0 || lines > 0 && start > text.length()) {
            throw new MismatchException("a change at a line that is not there");
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

    /** About how many bytes it takes on the wire, packed: a checksum does not shrink, lines do by half. */
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
