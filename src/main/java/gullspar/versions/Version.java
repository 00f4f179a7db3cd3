package gullspar.versions;

import java.nio.ByteBuffer;

/**
 * Identifies a version of the document. Versions are ordered by epoch, then by number; within an epoch only one
 * process writes, so two different versions with the same epoch and number are a fork.
 *
 * @param epoch raised by operators when another process becomes the primary; 1 or more
 * @param number greater than the predecessor's; 1 or more
 * @param textChecksum the checksum of the document's text
 * @param parentId the {@link #id} of the predecessor, which makes a hash chain back to the first version
 */
public record Version(long epoch, long number, Checksum textChecksum, Checksum parentId) {
    /** Throws IllegalArgumentException for invalid values. */
    public Version {
        if (epoch < 1 || number < 1 || textChecksum == null || parentId == null) {
            throw new IllegalArgumentException("invalid version: " + epoch + "." + number);
        }
    }

    /** The checksum over all four fields, by which successors refer to this version. */
    public Checksum id() {
        return Checksum.of(ByteBuffer.allocate(2 * Long.BYTES + 2 * Checksum.LENGTH_BYTES)
                .putLong(epoch)
                .putLong(number)
                .put(textChecksum.bytes())
                .put(parentId.bytes())
                .array());
    }

    /** Compares epoch and number; 0 does not imply equality, as the versions may be forks. */
    public int comparePosition(Version other) {
        return epoch != other.epoch ? Long.compare(epoch, other.epoch) : Long.compare(number, other.number);
    }

    /** Whether the other version is the predecessor. */
    public boolean follows(Version other) {
        return parentId.equals(other.id());
    }

    /** Epoch, number and the start of the text checksum. */
    @Override
    public String toString() {
        return epoch + "." + number + " (" + textChecksum + ")";
    }
}
