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
    public enum UpdateKind {
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
    public record UpdatePlan(UpdateKind kind, List<Delta> deltas) {
        private static UpdatePlan of(UpdateKind kind) {
            return new UpdatePlan(kind, List.of());
        }
    }

    /** Changes of so few bytes are not compared with the whole. */
    private static final int ALWAYS_DELTA_BYTES = 2048;

    private final int maxDeltas;
    private final int maxBytes;
    private final Deque<Delta> deltas = new ArrayDeque<>();
    private int totalBytes;
    /** What the oldest change is applied to, or the head where there are none; null for nothing yet. */
    private Version oldest;

    private Document head;
    /** Of the head; -1 while nobody has asked. */
    private int compressedBytes = -1;

    /** Keeps at most so many changes, of at most so many bytes in all. */
    public History(int maxDeltas, int maxBytes) {
        this.maxDeltas = maxDeltas;
        this.maxBytes = maxBytes;
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
    public void append(Document next, List<Delta> newDeltas) {
        if (head != null && next.version().comparePosition(head.version()) <= 0) {
            throw new IllegalArgumentException(next.version() + " is not newer than " + head.version());
        }
        boolean joined = head != null
                && !newDeltas.isEmpty()
                && newDeltas.get(0).to().follows(head.version())
                && newDeltas.get(newDeltas.size() - 1).to().equals(next.version());
        if (joined) {
            newDeltas.forEach(this::add);
        } else {
            deltas.clear();
            totalBytes = 0;
            oldest = next.version();
        }
        head = next;
        compressedBytes = -1;
        while (deltas.size() > maxDeltas || totalBytes > maxBytes) {
            Delta d = deltas.removeFirst();
            totalBytes -= d.estimatedBytes();
            oldest = d.to();
        }
    }

    private void add(Delta d) {
        deltas.add(d);
        totalBytes += d.estimatedBytes();
    }

    /** Another one with the same content. */
    public History copy() {
        History h = new History(maxDeltas, maxBytes);
        h.deltas.addAll(deltas);
        h.totalBytes = totalBytes;
        h.oldest = oldest;
        h.head = head;
        return h;
    }

    /** As it was kept on a disk: the head, and the changes that led there as far as they are a chain. */
    public void restore(Document document, Version from, List<Delta> storedDeltas) {
        head = document;
        compressedBytes = -1;
        oldest = document.version();
        deltas.clear();
        totalBytes = 0;
        Version v = from;
        boolean chain = from != null;
        for (Delta d : storedDeltas) {
            chain = chain && d.to().follows(v);
            v = d.to();
        }
        if (chain && !storedDeltas.isEmpty() && v.equals(document.version())) {
            storedDeltas.forEach(this::add);
            oldest = from;
        }
    }

    /** What the oldest change that is kept is applied to; the head's where none is; null before the first. */
    public Version oldest() {
        return oldest;
    }

    /** The version that was at the place of another one; null if that is not known any more. */
    public Version versionAt(Version position) {
        if (oldest != null && oldest.comparePosition(position) == 0) {
            return oldest;
        }
        for (Delta d : deltas) {
            if (d.to().comparePosition(position) == 0) {
                return d.to();
            }
        }
        return head != null && head.version().comparePosition(position) == 0 ? head.version() : null;
    }

    /** What a follower that has that version gets, null for one that has none. */
    public UpdatePlan planFor(Version has) {
        if (head == null || head.version().equals(has)) {
            return UpdatePlan.of(has == null || head != null ? UpdateKind.NOTHING : UpdateKind.AHEAD);
        }
        if (has == null) {
            return UpdatePlan.of(UpdateKind.SNAPSHOT);
        }
        int order = has.comparePosition(head.version());
        if (order > 0) {
            return UpdatePlan.of(UpdateKind.AHEAD);
        }
        Version mine = versionAt(has);
        if (mine != null && !mine.equals(has)) {
            // A higher epoch is the operators' word that it holds, whatever the former primary wrote.
            return UpdatePlan.of(has.epoch() < head.version().epoch() ? UpdateKind.SNAPSHOT : UpdateKind.FORKED);
        }
        return mine == null ? UpdatePlan.of(UpdateKind.SNAPSHOT) : planSince(has);
    }

    private UpdatePlan planSince(Version has) {
        List<Delta> since = new ArrayList<>();
        int size = 0;
        for (Delta d : deltas) {
            if (d.to().comparePosition(has) > 0) {
                since.add(d);
                size += d.estimatedBytes();
            }
        }
        return size > ALWAYS_DELTA_BYTES && size > compressedBytes()
                ? UpdatePlan.of(UpdateKind.SNAPSHOT)
                : new UpdatePlan(UpdateKind.CHANGES, since);
    }

    /** Bytes of the whole on the wire. */
    private int compressedBytes() {
        if (compressedBytes < 0) {
            Deflater d = new Deflater();
            d.setInput(head.text().getBytes(StandardCharsets.UTF_8));
            d.finish();
            byte[] part = new byte[1 << 16];
            while (!d.finished()) {
                d.deflate(part);
            }
            compressedBytes = (int) d.getBytesWritten();
            d.end();
        }
        return compressedBytes;
    }
}
