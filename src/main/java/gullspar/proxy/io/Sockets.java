package gullspar.proxy.io;

import java.util.function.BooleanSupplier;

/**
 * The descriptors of the process, a share for each side. Guards against running into the process's limit,
 * where accepting, connecting and discovery would all fail at once, and against clients that connect by
 * hundreds: they must not take the connections to the backends.
 */
public final class Sockets {
    /** Descriptors for the runtime's files, the selector, the listener and discovery; a quarter of a small limit. */
    private static final int RESERVE = 64;

    /** A side's share. */
    public static final class Share {
        private final int most;
        private int open;
        private BooleanSupplier spare = () -> false;

        private Share(int most) {
            this.most = Math.max(1, most);
        }

        /** Who closes an idle connection when all are taken; true if there was one. */
        public void whenFull(BooleanSupplier closeOneIdle) {
            this.spare = closeOneIdle;
        }

        /** Takes a descriptor, of an idle connection if need be; false if none can be had. */
        public boolean take() {
            if (open >= most && !spare.getAsBoolean()) {
                return false;
            }
            open++;
            return true;
        }

        public void release() {
            open--;
        }

        /** Descriptors that are held. */
        public int open() {
            return open;
        }

        public int most() {
            return most;
        }
    }

    /** The larger share: idle and stalled clients hold descriptors too. */
    public final Share clients;
    /** For connections to backends. */
    public final Share backends;

    public Sockets(int limit) {
        int rest = limit - Math.min(RESERVE, limit / 4);
        this.clients = new Share(rest * 3 / 5);
        this.backends = new Share(rest - rest * 3 / 5);
    }
}
