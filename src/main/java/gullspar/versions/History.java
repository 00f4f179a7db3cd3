package gullspar.versions;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.zip.Deflater;

/**
 * The newest document and the changes that led to it, as far back as the bounds allow: what a control process
 * decides by what a follower gets.
 */
public final class History {
    /** What a follower that has some version is to get. */
    public enum Kind {
        /** Nothing: it has the newest one, or nobody has any. */
        NOTHING,
        /** The changes since. */
        CHANGES,
        /** The whole. */
        SNAPSHOT,
        /** Nothing: it has a higher one. */
        AHEAD,
        /** Nothing: it has another one of the same place. */
        FORKED
    }

    /** What it is to get; the changes, empty but for {@link Kind#CHANGES}. */
    public record Answer(Kind kind, List<Delta> deltas) {
        private static Answer of(Kind kind) {
            return new Answer(kind, List.of());
        }
    }

    /** Changes of so few bytes are not compared with the whole. */
    private static final int SMALL = 2048;

    private final int mostDeltas;
    private final int mostBytes;
    private final Deque<Delta> deltas = new ArrayDeque<>();
    private int bytes;
    /** What the oldest change is applied to, or the head where there are none; null for nothing yet. */
    private Version oldest;

    private Document head;
    /** Of the head; -1 while nobody has asked. */
    private int packed = -1;

    /** Keeps at most so many changes, of at most so many bytes in all. */
    public History(int mostDeltas, int mostBytes) {
        this.mostDeltas = mostDeltas;
        this.mostBytes = mostBytes;
    }

    /** The newest document; null before the first. */
    public Document head() {
        return head;
    }

    /** The newest version; null before the first. */
    public Version version() {
        return head == null ? null : head.version();
    }

    /** The changes that are kept, the oldest first. */
    public List<Delta> deltas() {
        return List.copyOf(deltas);
    }

    /**
     * A newer document, and the changes that led to it from the head; without them, or where they don't fit,
     * the history begins anew. An IllegalArgumentException if it is not newer.
     */
    public void append(Document next, List<Delta> led) {
        if (head != null && next.version().order(head.version()) <= 0) {
            throw new IllegalArgumentException(next.version() + " is not newer than " + head.version());
        }
        boolean joined = head != null
                && !led.isEmpty()
                && led.get(0).to().follows(head.version())
                && led.get(led.size() - 1).to().equals(next.version());
        if (joined) {
            led.forEach(this::keep);
        } else {
            deltas.clear();
            bytes = 0;
            oldest = next.version();
        }
        head = next;
        packed = -1;
        while (deltas.size() > mostDeltas || bytes > mostBytes) {
            Delta d = deltas.removeFirst();
            bytes -= d.bytes();
            oldest = d.to();
        }
    }

    private void keep(Delta d) {
        deltas.add(d);
        bytes += d.bytes();
    }

    /** Another one with the same content. */
    public History copy() {
        History h = new History(mostDeltas, mostBytes);
        h.deltas.addAll(deltas);
        h.bytes = bytes;
        h.oldest = oldest;
        h.head = head;
        return h;
    }

    /** As it was kept on a disk: the head, and the changes that led there as far as they are a chain. */
    public void restore(Document kept, Version from, List<Delta> led) {
        head = kept;
        packed = -1;
        oldest = kept.version();
        deltas.clear();
        bytes = 0;
        Version v = from;
        boolean chain = from != null;
        for (Delta d : led) {
            chain = chain && d.to().follows(v);
            v = d.to();
        }
        if (chain && !led.isEmpty() && v.equals(kept.version())) {
            led.forEach(this::keep);
            oldest = from;
        }
    }

    /** What the oldest change that is kept is applied to; the head's where none is; null before the first. */
    public Version oldest() {
        return oldest;
    }

    /** The version that was at the place of another one; null if that is not known any more. */
    public Version at(Version place) {
        if (oldest != null && oldest.order(place) == 0) {
            return oldest;
        }
        for (Delta d : deltas) {
            if (d.to().order(place) == 0) {
                return d.to();
            }
        }
        return head != null && head.version().order(place) == 0 ? head.version() : null;
    }

    /** What a follower that has that version gets, null for one that has none. */
    public Answer answer(Version has) {
        if (head == null || head.version().equals(has)) {
            return Answer.of(has == null || head != null ? Kind.NOTHING : Kind.AHEAD);
        }
        if (has == null) {
            return Answer.of(Kind.SNAPSHOT);
        }
        int order = has.order(head.version());
        if (order > 0) {
            return Answer.of(Kind.AHEAD);
        }
        Version mine = at(has);
        if (mine != null && !mine.equals(has)) {
            // A higher epoch is the operators' word that it holds, whatever the former primary wrote.
            return Answer.of(has.epoch() < head.version().epoch() ? Kind.SNAPSHOT : Kind.FORKED);
        }
        return mine == null ? Answer.of(Kind.SNAPSHOT) : since(has);
    }

    private Answer since(Version has) {
        List<Delta> since = new ArrayList<>();
        int size = 0;
        for (Delta d : deltas) {
            if (d.to().order(has) > 0) {
                since.add(d);
                size += d.bytes();
            }
        }
        return size > SMALL && size > packed() ? Answer.of(Kind.SNAPSHOT) : new Answer(Kind.CHANGES, since);
    }

    /** Bytes of the whole on the wire. */
    private int packed() {
        if (packed < 0) {
            Deflater d = new Deflater();
            d.setInput(head.text().getBytes(StandardCharsets.UTF_8));
            d.finish();
            byte[] part = new byte[1 << 16];
            while (!d.finished()) {
                d.deflate(part);
            }
            packed = (int) d.getBytesWritten();
            d.end();
        }
        return packed;
    }
}
