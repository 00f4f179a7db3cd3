package gullspar.rehearse.net;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What one way does to the datagrams on it: unlike a connection's bytes they may get lost, overtake each
 * other, come twice, cut short or changed. The same in virtual time and in the relay of a live day.
 */
public final class Datagrams {
    /** More than that does not wait on a way that stalls. */
    private static final int MOST_HELD = 10_000;

    /** What may be wrong with a way, beside loss and delay. */
    public enum Trouble {
        JITTER,
        TWICE,
        TORN,
        FLIPPED,
        STALLED
    }

    /** Takes what comes out at the other end, so long from now. */
    public interface Arrival {
        void arrives(long inNs, byte[] datagram);
    }

    private final List<byte[]> held = new ArrayList<>();
    private long extraNs;
    private double loss;
    /** How many cuts lie over it: faults may overlap. */
    private int cuts;

    private double jitterNs;
    private double twice;
    private double torn;
    private double flipped;
    private boolean stalled;
    private Liar liar;

    /** Adds to the delay; 0 takes it back. */
    public void slower(long byNs) {
        extraNs = byNs;
    }

    /** Loses a share. */
    public void lossy(double share) {
        loss = share;
    }

    /** Carries nothing, or one cut fewer lies over it. */
    public void cut(boolean on) {
        cuts = Math.max(0, cuts + (on ? 1 : -1));
    }

    /** From now on somebody stands at its beginning who may lie. */
    public void liar(Liar who) {
        liar = who;
    }

    /** One trouble begins, or with 0 is over. JITTER: in ns; the others: the share that is struck. */
    public void trouble(Trouble t, double figure, Arrival arrival) {
        switch (t) {
            case JITTER -> jitterNs = figure;
            case TWICE -> twice = figure;
            case TORN -> torn = figure;
            case FLIPPED -> flipped = figure;
            default -> {
                stalled = figure > 0;
                if (!stalled) {
                    List<byte[]> all = List.copyOf(held);
                    held.clear();
                    all.forEach(d -> arrival.arrives(extraNs, d));
                }
            }
        }
    }

    /** A datagram sets out. */
    public void carry(byte[] datagram, SplittableRandom random, Arrival arrival) {
        if (liar == null) {
            carryAsItIs(datagram, random, arrival);
        } else {
            liar.of(datagram).forEach(d -> carryAsItIs(d, random, arrival));
        }
    }

    private void carryAsItIs(byte[] datagram, SplittableRandom random, Arrival arrival) {
        // Drawn in any case: a trouble that is left out must not shift what others draw.
        double lost = random.nextDouble();
        double copy = random.nextDouble();
        double tear = random.nextDouble();
        double flip = random.nextDouble();
        double first = random.nextDouble();
        double second = random.nextDouble();
        int place = random.nextInt();
        if (cuts > 0 || lost < loss || datagram.length == 0) {
            return;
        }
        byte[] d = datagram;
        if (tear < torn) {
            d = Arrays.copyOf(d, Math.floorMod(place, d.length));
        } else if (flip < flipped) {
            d = d.clone();
            d[Math.floorMod(place, d.length)] ^= (byte) (1 << (place >>> 28 & 7));
        }
        if (stalled) {
            if (held.size() < MOST_HELD) {
                held.add(d);
            }
            return;
        }
        arrival.arrives(extraNs + (long) (first * jitterNs), d);
        if (copy < twice) {
            arrival.arrives(extraNs + (long) (second * jitterNs), d);
        }
    }
}
