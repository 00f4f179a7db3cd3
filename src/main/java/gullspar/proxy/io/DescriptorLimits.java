package gullspar.proxy.io;

import java.util.function.BooleanSupplier;

/**
 * The descriptors of the process, a share for each side. Guards against running into the process's limit,
 * where accepting, connecting and discovery would all fail at once, and against clients that connect by
 * hundreds: they must not take the connections to the backends.
 */
public final class DescriptorLimits {
    /** Descriptors for the runtime's files, the selector, the listener and discovery; a quarter of a small limit. */
    private static final int RESERVED_DESCRIPTORS = 64;

    /** A side's share. */
    public static final class Share {
        private final int limit;
        private int openCount;
        private BooleanSupplier closeOneIdle = () -> false;

        private Share(int most) {
            this.limit = Math.max(1, most);
        }

        /** Who closes an idle connection when all are taken; true if there was one. */
        public void onFull(BooleanSupplier closeOneIdle) {
            this.closeOneIdle = closeOneIdle;
        }

        /** Takes a descriptor, of an idle connection if need be; false if none can be had. */
        public boolean tryAcquire() {
            if (openCount >= limit && !closeOneIdle.getAsBoolean()) {
                return false;
            }
            openCount++;
            return true;
        }

        public void release() {
            openCount--;
        }

        /** Descriptors that are held. */
        public int openCount() {
            return openCount;
        }

        public int limit() {
            return limit;
        }
    }

    /** The larger share: idle and stalled clients hold descriptors too. */
    public final Share clients;
    /** For connections to backends. */
    public final Share backends;

    public DescriptorLimits(int limit) {
        int rest = limit - Math.min(RESERVED_DESCRIPTORS, limit / 4);
        this.clients = new Share(rest * 3 / 5);
        this.backends = new Share(rest - rest * 3 / 5);
    }
}
