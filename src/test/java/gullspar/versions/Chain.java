package gullspar.versions;

import java.util.ArrayList;
import java.util.List;

/** Chains of successive documents for tests. */
public final class Chain {
    /** Spreads line contents, so that they do not compress to almost nothing. */
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private Chain() {}

    /** Creates the first version of a text. */
    public static Document first(String text) {
        return new Document(new Version(1, 1, Checksum.of(text), Checksum.NONE), text);
    }

    /** Creates the successor of a document. */
    public static Document after(Document d, String text) {
        return after(d, d.version().epoch(), text);
    }

    /** Creates the successor of a document in the given epoch. */
    public static Document after(Document d, long epoch, String text) {
        return new Document(
                new Version(
                        epoch,
                        d.version().number() + 1,
                        Checksum.of(text),
                        d.version().id()),
                text);
    }

    /** Computes the delta between two documents. */
    public static Delta delta(Document from, Document to) {
        return Delta.between(from.text(), to);
    }

    /** Creates a text with that many lines, some of which depend on the number. */
    public static String text(int lines, int number) {
        StringBuilder s = new StringBuilder();
        for (int i = 0; i < lines; i++) {
            s.append("line ")
                    .append(i)
                    .append(' ')
                    .append(Long.toHexString(i * HASH_MULTIPLIER))
                    .append(i == number % lines ? " changed by " + number : "")
                    .append('\n');
        }
        return s.toString();
    }

    /** Creates a chain of documents. */
    public static List<Document> of(int n, int lines) {
        List<Document> all = new ArrayList<>();
        all.add(first(text(lines, 0)));
        for (int i = 1; i < n; i++) {
            all.add(after(all.get(i - 1), text(lines, i)));
        }
        return all;
    }

    /** Creates a history of the documents. */
    public static History history(List<Document> all, int maxDeltas) {
        History h = new History(maxDeltas, 1 << 20);
        for (Document d : all) {
            h.append(d, h.head() == null ? List.of() : List.of(delta(h.head(), d)));
        }
        return h;
    }
}
