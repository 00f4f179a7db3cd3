package gullspar.rehearse.net;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Somebody on the network without the fleet's key: he hears what goes by, and sends it once more, changed or
 * as it was, to whom he likes, long after its time too, or sends what he makes up.
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

    /** A datagram went by. Each of all that ever did is kept with the same chance (Vitter's algorithm R). */
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

    /** The next that he sends: a third each of old ones, changed ones and such as are made up. */
    public byte[] next() {
        int kind = random.nextInt(3);
        if (kind == 0 || observed.isEmpty()) {
            byte[] forged = new byte[random.nextInt(MAX_FORGED_BYTES)];
            random.nextBytes(forged);
            if (forged.length > 0 && random.nextBoolean()) {
                forged[0] = 1; // the version of the envelope, so that more of it is looked at
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
