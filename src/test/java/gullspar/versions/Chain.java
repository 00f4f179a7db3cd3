package gullspar.versions;

import java.util.ArrayList;
import java.util.List;

/** Documents that follow one another, for tests. */
public final class Chain {
    /** Lines that do not shrink to nothing. */
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private Chain() {}

    /** The first version of a text. */
    public static Document first(String text) {
        return new Document(new Version(1, 1, Checksum.of(text), Checksum.NONE), text);
    }

    /** The version after another. */
    public static Document after(Document d, String text) {
        return after(d, d.version().epoch(), text);
    }

    /** The version after another, in that epoch. */
    public static Document after(Document d, long epoch, String text) {
        return new Document(
                new Version(
                        epoch,
                        d.version().number() + 1,
                        Checksum.of(text),
                        d.version().id()),
                text);
    }

    /** What leads from one to the next. */
    public static Delta delta(Document from, Document to) {
        return Delta.between(from.text(), to);
    }

    /** A text of so many lines, some of which a number changes. */
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

    /** So many documents, each after the one before. */
    public static List<Document> of(int n, int lines) {
        List<Document> all = new ArrayList<>();
        all.add(first(text(lines, 0)));
        for (int i = 1; i < n; i++) {
            all.add(after(all.get(i - 1), text(lines, i)));
        }
        return all;
    }

    /** A history of these. */
    public static History history(List<Document> all, int most) {
        History h = new History(most, 1 << 20);
        for (Document d : all) {
            h.append(d, h.head() == null ? List.of() : List.of(delta(h.head(), d)));
        }
        return h;
    }
}
