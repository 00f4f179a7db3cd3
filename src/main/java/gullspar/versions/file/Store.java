package gullspar.versions.file;

import gullspar.versions.Checksum;
import gullspar.versions.wire.Codec;
import gullspar.versions.wire.Compression;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The newest version that a process has had, on its disk, and the one before. A new one is written beside and
 * synced before it takes the other's name: at any moment there is a whole one. Each file has a checksum, so
 * that a torn or damaged one is known as such.
 */
public final class Store {
    /** What is in force, the one before, and one that is being written. */
    public static final String CURRENT = "current";

    public static final String PREVIOUS = "previous";
    public static final String NEXT = "next";
    private static final byte[] MAGIC = "gullspar versions 1\n".getBytes(StandardCharsets.US_ASCII);
    /** Written at each change: a quick way, whose result is some tenths longer. */
    private static final int COMPRESSION_LEVEL = 1;

    /**
     * @param kept the newest that is whole; null for none
     * @param mayBeOlder a newer one was there, and cannot be read
     * @param damage a line for each file that is damaged
     */
    public record Found(Codec.StoredDocument stored, boolean mayBeOlder, List<String> damage) {}

    private final Folder folder;
    /** Is the file of that name there and whole, as far as is known? */
    private boolean hasCurrent;

    private boolean hasNext;

    public Store(Folder folder) {
        this.folder = folder;
    }

    /** What there is; an IOException if the folder cannot be read at all. Changes nothing. */
    public Found read() throws IOException {
        List<String> damage = new ArrayList<>();
        Codec.StoredDocument best = null;
        boolean newerLost = false;
        boolean hasPrevious = false;
        boolean currentMissing = true;
        hasCurrent = false;
        hasNext = false;
        for (String name : List.of(CURRENT, PREVIOUS, NEXT)) {
            byte[] bytes = folder.read(name);
            if (bytes == null) {
                continue;
            }
            try {
                Codec.StoredDocument k = parse(bytes);
                hasCurrent |= name.equals(CURRENT);
                hasPrevious |= name.equals(PREVIOUS);
                currentMissing &= !name.equals(CURRENT);
                if (best == null
                        || k.document()
                                        .version()
                                        .comparePosition(best.document().version())
                                > 0) {
                    best = k;
                    // A whole one that was about to become the current one is the newest there was.
                    newerLost &= !name.equals(NEXT);
                    hasNext = name.equals(NEXT);
                }
            } catch (IOException e) {
                // One that is torn while it was written was never in force: that is no loss.
                if (!name.equals(NEXT)) {
                    damage.add("the file " + name + " is damaged, and is not used: " + e.getMessage());
                    newerLost |= name.equals(CURRENT);
                }
            }
        }
        newerLost |= hasPrevious && currentMissing && !hasNext; // between the two names there was a whole one
        return new Found(best, newerLost, damage);
    }

    private static Codec.StoredDocument parse(byte[] bytes) throws IOException {
        int head = MAGIC.length + Checksum.LENGTH_BYTES;
        if (bytes.length < head || !Arrays.equals(bytes, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
            throw new IOException("it does not begin as it must");
        }
        byte[] body = Arrays.copyOfRange(bytes, head, bytes.length);
        if (!Checksum.of(body).equals(Checksum.fromBytes(Arrays.copyOfRange(bytes, MAGIC.length, head)))) {
            throw new IOException("its checksum is wrong");
        }
        return Codec.decodeStored(Compression.decompress(body));
    }

    /** Keeps a newer one. After an IOException the former one is there, or, whole, this one. */
    public void persist(Codec.StoredDocument k) throws IOException {
        if (hasNext) {
            promote(); // the newest that is whole must not be written over
        }
        byte[] body = Compression.compress(Codec.encode(k), COMPRESSION_LEVEL);
        folder.write(
                NEXT,
                ByteBuffer.allocate(MAGIC.length + Checksum.LENGTH_BYTES + body.length)
                        .put(MAGIC)
                        .put(Checksum.of(body).bytes())
                        .put(body)
                        .array());
        promote();
        folder.sync();
    }

    private void promote() throws IOException {
        hasNext = true;
        if (hasCurrent) { // a damaged one must not take the place of one that is whole
            folder.rename(CURRENT, PREVIOUS);
            hasCurrent = false;
        }
        folder.rename(NEXT, CURRENT);
        hasCurrent = true;
        hasNext = false;
    }
}
