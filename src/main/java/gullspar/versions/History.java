package gullspar.versions;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.zip.Deflater;

/**
 * The newest document and the deltas that led to it, as far back as the limits allow. A control process uses it
 * to choose the update for each follower.
 */
public final class History {
    /** The kind of update for a follower that has a given version. */
    public enum UpdateKind {
        /** No update: the follower has the newest version, or there is none. */
        NOTHING,
        /** The deltas since its version. */
        CHANGES,
        /** The whole document. */
        SNAPSHOT,
        /** No update: the follower has a higher version. */
        AHEAD,
        /** No update: the follower has a different version with the same epoch and number. */
        FORKED
    }

    /** The update for a follower; deltas are empty except for {@link UpdateKind#CHANGES}. */
    public record UpdatePlan(UpdateKind kind, List<Delta> deltas) {
        private static UpdatePlan of(UpdateKind kind) {
            return new UpdatePlan(kind, List.of());
        }
    }

    /** Deltas up to this size are sent without comparing them with the size of a snapshot. */
    private static final int ALWAYS_DELTA_BYTES = 2048;

    private final int maxDeltas;
    private final int maxBytes;
    private final Deque<Delta> deltas = new ArrayDeque<>();
    private int totalBytes;
    /** The version that the oldest delta applies to, or the head if there are no deltas; null while empty. */
    private Version oldest;

    private Document head;
    /** Compressed size of the head; -1 until computed. */
    private int compressedBytes = -1;

    /** Limits the number of deltas and their total estimated size. */
    public History(int maxDeltas, int maxBytes) {
        this.maxDeltas = maxDeltas;
        this.maxBytes = maxBytes;
    }

    /** The newest document, or null. */
    public Document head() {
        return head;
    }

    /** The newest version, or null. */
    public Version version() {
        return head == null ? null : head.version();
    }

    /** The retained deltas, oldest first. */
    public List<Delta> deltas() {
        return List.copyOf(deltas);
    }

    /**
     * Appends a newer document and the deltas that lead to it from the head; without matching deltas the history
     * restarts at the document. Throws IllegalArgumentException if it is not newer.
     */
    public void append(Document next, List<Delta> newDeltas) {
        if (head != null && next.version().comparePosition(head.version()) <= 0) {
            throw new IllegalArgumentException(next.version() + " is not newer than " + head.version());
        }
        boolean contiguous = head != null
                && !newDeltas.isEmpty()
                && newDeltas.get(0).to().follows(head.version())
                && newDeltas.get(newDeltas.size() - 1).to().equals(next.version());
        if (contiguous) {
            newDeltas.forEach(this::addDelta);
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

    private void addDelta(Delta d) {
        deltas.add(d);
        totalBytes += d.estimatedBytes();
    }

    /** Returns an independent copy. */
    public History copy() {
        History h = new History(maxDeltas, maxBytes);
        h.deltas.addAll(deltas);
        h.totalBytes = totalBytes;
        h.oldest = oldest;
        h.head = head;
        return h;
    }

    /** Restores the state read from disk; the deltas are dropped unless they form a chain to the document. */
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
            storedDeltas.forEach(this::addDelta);
            oldest = from;
        }
    }

    /** The version that the oldest retained delta applies to; the head without deltas; null while empty. */
    public Version oldest() {
        return oldest;
    }

    /** The version with the same epoch and number as the given one; null if unknown or no longer retained. */
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

    /** Chooses the update for a follower that has the version, or null for none. */
    public UpdatePlan planFor(Version held) {
        if (head == null || head.version().equals(held)) {
            return UpdatePlan.of(held == null || head != null ? UpdateKind.NOTHING : UpdateKind.AHEAD);
        }
        if (held == null) {
            return UpdatePlan.of(UpdateKind.SNAPSHOT);
        }
        int order = held.comparePosition(head.version());
        if (order > 0) {
            return UpdatePlan.of(UpdateKind.AHEAD);
        }
        Version retained = versionAt(held);
        if (retained != null && !retained.equals(held)) {
            // Operators raise the epoch to declare that it overrides what the former primary wrote.
            return UpdatePlan.of(held.epoch() < head.version().epoch() ? UpdateKind.SNAPSHOT : UpdateKind.FORKED);
        }
        return retained == null ? UpdatePlan.of(UpdateKind.SNAPSHOT) : planSince(held);
    }

    private UpdatePlan planSince(Version held) {
        List<Delta> since = new ArrayList<>();
        int size = 0;
        for (Delta d : deltas) {
            if (d.to().comparePosition(held) > 0) {
                since.add(d);
                size += d.estimatedBytes();
            }
        }
        return size > ALWAYS_DELTA_BYTES && size > compressedBytes()
                ? UpdatePlan.of(UpdateKind.SNAPSHOT)
                : new UpdatePlan(UpdateKind.CHANGES, since);
    }

    /** Compressed size of the head in bytes. */
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
