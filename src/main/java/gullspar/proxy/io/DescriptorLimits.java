package gullspar.proxy.io;

import java.util.function.BooleanSupplier;

/**
 * Divides the descriptors of the process between clients and backends. Keeps the process below its limit, where
 * accepting, connecting and discovery would all fail at once, and keeps hundreds of client connections from using
 * up the descriptors for connections to backends.
 */
public final class DescriptorLimits {
    /** For the JVM's files, the selector, the listener and discovery; at most a quarter of the limit. */
    private static final int RESERVED_DESCRIPTORS = 64;

    /** The descriptors of one side. */
    public static final class Share {
        private final int limit;
        private int openCount;
        private BooleanSupplier closeOneIdle = () -> false;

        private Share(int limit) {
            this.limit = Math.max(1, limit);
        }

        /** Sets what closes an idle connection when all descriptors are in use; it returns true if there was one. */
        public void onFull(BooleanSupplier closeOneIdle) {
            this.closeOneIdle = closeOneIdle;
        }

        /** Acquires a descriptor, closing an idle connection if necessary; returns false if none is available. */
        public boolean tryAcquire() {
            if (openCount >= limit && !closeOneIdle.getAsBoolean()) {
                return false;
            }
            openCount++;
            return true;
        }

        /** Releases a descriptor that was acquired. */
        public void release() {
            openCount--;
        }

        /** Number of descriptors in use. */
        public int openCount() {
            return openCount;
        }

        public int limit() {
            return limit;
        }
    }

    /** The larger share, because idle and stalled clients hold descriptors too. */
    public final Share clients;
    /** For connections to backends. */
    public final Share backends;

    /** Divides this number of descriptors, the limit of the process. */
    public DescriptorLimits(int limit) {
        int available = limit - Math.min(RESERVED_DESCRIPTORS, limit / 4);
        this.clients = new Share(available * 3 / 5);
        this.backends = new Share(available - available * 3 / 5);
    }
}
