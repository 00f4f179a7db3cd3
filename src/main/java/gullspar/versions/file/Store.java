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
 * Stores the newest version that a process has had and the previous one on disk. A new version is written to a
 * separate file and synced before it is renamed, so that an intact one exists at any moment. Each file has a
 * checksum to detect torn writes and damage.
 */
public final class Store {
    /** Name of the file of the current version. */
    public static final String CURRENT = "current";
    /** Name of the file of the previous version. */
    public static final String PREVIOUS = "previous";
    /** Name of the file of a version that is being written. */
    public static final String NEXT = "next";

    private static final byte[] MAGIC = "gullspar versions 1\n".getBytes(StandardCharsets.US_ASCII);
    /** Fast, because each change is written; the output is some tenths larger than at the default level. */
    private static final int COMPRESSION_LEVEL = 1;

    /**
     * @param stored the newest intact version, or null
     * @param mayBeOlder a newer version existed but cannot be read
     * @param damage a line for each damaged file
     */
    public record Found(Codec.StoredDocument stored, boolean mayBeOlder, List<String> damage) {}

    private final Folder folder;
    /** Whether the current file exists and is intact, as far as known. */
    private boolean hasCurrent;
    /** Whether the file being written exists, is intact and holds the newest version. */
    private boolean hasNext;

    public Store(Folder folder) {
        this.folder = folder;
    }

    /** Reads the files without changing them; throws IOException if the folder cannot be read. */
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
                Codec.StoredDocument stored = parse(bytes);
                hasCurrent |= name.equals(CURRENT);
                hasPrevious |= name.equals(PREVIOUS);
                currentMissing &= !name.equals(CURRENT);
                if (best == null
                        || stored.document()
                                        .version()
                                        .comparePosition(best.document().version())
                                > 0) {
                    best = stored;
                    // An intact next file was about to become the current one, so it is the newest.
                    newerLost &= !name.equals(NEXT);
                    hasNext = name.equals(NEXT);
                }
            } catch (IOException e) {
                // A torn next file was never in force, so nothing is lost.
                if (!name.equals(NEXT)) {
                    damage.add("the file " + name + " is damaged and is ignored: " + e.getMessage());
                    newerLost |= name.equals(CURRENT);
                }
            }
        }
        newerLost |= hasPrevious && currentMissing && !hasNext; // the current file was lost between the two renames
        return new Found(best, newerLost, damage);
    }

    private static Codec.StoredDocument parse(byte[] bytes) throws IOException {
        int head = MAGIC.length + Checksum.LENGTH_BYTES;
        if (bytes.length < head || !Arrays.equals(bytes, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
            throw new IOException("unknown file header");
        }
        byte[] body = Arrays.copyOfRange(bytes, head, bytes.length);
        if (!Checksum.of(body).equals(Checksum.fromBytes(Arrays.copyOfRange(bytes, MAGIC.length, head)))) {
            throw new IOException("checksum mismatch");
        }
        return Codec.decodeStored(Compression.decompress(body));
    }

    /** Persists a newer version. After an IOException the former version or this one is intact on disk. */
    public void persist(Codec.StoredDocument stored) throws IOException {
        if (hasNext) {
            promote(); // the newest intact version must not be overwritten
        }
        byte[] body = Compression.compress(Codec.encode(stored), COMPRESSION_LEVEL);
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
        if (hasCurrent) { // a damaged file must not replace an intact previous one
            folder.rename(CURRENT, PREVIOUS);
            hasCurrent = false;
        }
        folder.rename(NEXT, CURRENT);
        hasCurrent = true;
        hasNext = false;
    }
}
