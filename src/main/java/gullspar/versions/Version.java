package gullspar.versions;

import java.nio.ByteBuffer;

/**
 * Which version of the document. Versions are ordered by epoch, then by number; within an epoch one process
 * writes, so two versions of the same place that differ are a fork.
 *
 * @param epoch raised by the operators where another process becomes the primary; 1 or more
 * @param number one more than the predecessor's; 1 or more
 * @param text the checksum of the document's text
 * @param parent the {@link #id} of the predecessor: a chain back to the first version
 */
public record Version(long epoch, long number, Checksum text, Checksum parent) {
    /** An IllegalArgumentException for one that cannot be. */
    public Version {
        if (epoch < 1 || number < 1 || text == null || parent == null) {
            throw new IllegalArgumentException("a version that cannot be: " + epoch + "." + number);
        }
    }

    /** What its successors name it by: a checksum of all four. */
    public Checksum id() {
        return Checksum.of(ByteBuffer.allocate(2 * Long.BYTES + 2 * Checksum.LENGTH_BYTES)
                .putLong(epoch)
                .putLong(number)
                .put(text.bytes())
                .put(parent.bytes())
                .array());
    }

    /** Below 0 for a lower place than the other's, 0 for the same one, which may be a fork. */
    public int comparePosition(Version other) {
        return epoch != other.epoch ? Long.compare(epoch, other.epoch) : Long.compare(number, other.number);
    }

    /** Is the other one its predecessor? */
    public boolean follows(Version other) {
        return parent.equals(other.id());
    }

    /** Epoch, number, and the beginning of the text's checksum. */
    @Override
    public String toString() {
        return epoch + "." + number + " (" + text + ")";
    }
}
