package gullspar.rehearse.net;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * An attacker without the fleet's key: observes datagrams on the network and produces replayed (also long after
 * they were sent), modified and made-up ones for any recipient.
 */
public final class DatagramForger {
    private static final int MAX_KEPT = 4096;
    private static final int MAX_FORGED_BYTES = 1400;

    private final SplittableRandom random;
    private final List<byte[]> observed = new ArrayList<>();
    private long observedCount;

    public DatagramForger(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /** Samples a datagram: each one observed is kept with equal probability (reservoir sampling, algorithm R). */
    public void observe(byte[] datagram) {
        observedCount++;
        if (observed.size() < MAX_KEPT) {
            observed.add(datagram);
        } else {
            long index = random.nextLong(observedCount);
            if (index < MAX_KEPT) {
                observed.set((int) index, datagram);
            }
        }
    }

    /** The next datagram to send: one third each are replayed, modified and made up. */
    public byte[] next() {
        int kind = random.nextInt(3);
        if (kind == 0 || observed.isEmpty()) {
            byte[] forged = new byte[random.nextInt(MAX_FORGED_BYTES)];
            random.nextBytes(forged);
            if (forged.length > 0 && random.nextBoolean()) {
                forged[0] = 1; // a valid envelope version, so that later checks are reached too
            }
            return forged;
        }
        byte[] replayed = observed.get(random.nextInt(observed.size())).clone();
        if (kind == 1 && replayed.length > 0) {
            replayed[random.nextInt(replayed.length)] ^= (byte) (1 << random.nextInt(8));
        }
        return replayed;
    }
}
