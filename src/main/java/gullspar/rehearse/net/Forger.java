package gullspar.rehearse.net;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Somebody on the network without the fleet's key: he hears what goes by, and sends it once more, changed or
 * as it was, to whom he likes, long after its time too, or sends what he makes up.
 */
public final class Forger {
    private static final int MOST = 4096;
    private static final int MOST_BYTES = 1400;

    private final SplittableRandom random;
    private final List<byte[]> heard = new ArrayList<>();
    private long seen;

    public Forger(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /** A datagram went by. Each of all that ever did is kept with the same chance (Vitter's algorithm R). */
    public void hears(byte[] datagram) {
        seen++;
        if (heard.size() < MOST) {
            heard.add(datagram);
        } else {
            long place = random.nextLong(seen);
            if (place < MOST) {
                heard.set((int) place, datagram);
            }
        }
    }

    /** The next that he sends: a third each of old ones, changed ones and such as are made up. */
    public byte[] next() {
        int kind = random.nextInt(3);
        if (kind == 0 || heard.isEmpty()) {
            byte[] made = new byte[random.nextInt(MOST_BYTES)];
            random.nextBytes(made);
            if (made.length > 0 && random.nextBoolean()) {
                made[0] = 1; // the version of the envelope, so that more of it is looked at
            }
            return made;
        }
        byte[] old = heard.get(random.nextInt(heard.size())).clone();
        if (kind == 1 && old.length > 0) {
            old[random.nextInt(old.length)] ^= (byte) (1 << random.nextInt(8));
        }
        return old;
    }
}
