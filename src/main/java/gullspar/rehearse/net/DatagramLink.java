package gullspar.rehearse.net;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What one way does to the datagrams on it: unlike a connection's bytes they may get lost, overtake each
 * other, come twice, cut short or changed. The same in virtual time and in the relay of a live day.
 */
public final class DatagramLink {
    /** More than that does not wait on a way that stalls. */
    private static final int MAX_HELD = 10_000;

    /** What may be wrong with a way, beside loss and delay. */
    public enum Impairment {
        JITTER,
        TWICE,
        TORN,
        FLIPPED,
        STALLED
    }

    /** Takes what comes out at the other end, so long from now. */
    public interface Delivery {
        void deliver(long delayNs, byte[] datagram);
    }

    private final List<byte[]> held = new ArrayList<>();
    private long extraDelayNs;
    private double loss;
    /** How many cuts lie over it: faults may overlap. */
    private int activeCuts;

    private double jitterNs;
    private double duplicateShare;
    private double truncateShare;
    private double bitFlipShare;
    private boolean stalled;
    private FalseRumorInjector falseRumorInjector;

    /** Adds to the delay; 0 takes it back. */
    public void setExtraDelayNs(long addedNs) {
        extraDelayNs = addedNs;
    }

    /** Loses a share. */
    public void setLoss(double share) {
        loss = share;
    }

    /** Carries nothing, or one cut fewer lies over it. */
    public void cut(boolean on) {
        activeCuts = Math.max(0, activeCuts + (on ? 1 : -1));
    }

    /** From now on somebody stands at its beginning who may lie. */
    public void falseRumorInjector(FalseRumorInjector injector) {
        falseRumorInjector = injector;
    }

    /** One trouble begins, or with 0 is over. JITTER: in ns; the others: the share that is struck. */
    public void setImpairment(Impairment impairment, double value, Delivery delivery) {
        switch (impairment) {
            case JITTER -> jitterNs = value;
            case TWICE -> duplicateShare = value;
            case TORN -> truncateShare = value;
            case FLIPPED -> bitFlipShare = value;
            default -> {
                stalled = value > 0;
                if (!stalled) {
                    List<byte[]> released = List.copyOf(held);
                    held.clear();
                    released.forEach(d -> delivery.deliver(extraDelayNs, d));
                }
            }
        }
    }

    /** A datagram sets out. */
    public void send(byte[] datagram, SplittableRandom random, Delivery delivery) {
        if (falseRumorInjector == null) {
            transmit(datagram, random, delivery);
        } else {
            falseRumorInjector.rewrite(datagram).forEach(d -> transmit(d, random, delivery));
        }
    }

    private void transmit(byte[] datagram, SplittableRandom random, Delivery delivery) {
        // Drawn in any case: a trouble that is left out must not shift what others draw.
        double lossDraw = random.nextDouble();
        double duplicateDraw = random.nextDouble();
        double truncateDraw = random.nextDouble();
        double bitFlipDraw = random.nextDouble();
        double jitterDraw = random.nextDouble();
        double duplicateJitterDraw = random.nextDouble();
        int position = random.nextInt();
        if (activeCuts > 0 || lossDraw < loss || datagram.length == 0) {
            return;
        }
        byte[] d = datagram;
        if (truncateDraw < truncateShare) {
            d = Arrays.copyOf(d, Math.floorMod(position, d.length));
        } else if (bitFlipDraw < bitFlipShare) {
            d = d.clone();
            d[Math.floorMod(position, d.length)] ^= (byte) (1 << (position >>> 28 & 7));
        }
        if (stalled) {
            if (held.size() < MAX_HELD) {
                held.add(d);
            }
            return;
        }
        delivery.deliver(extraDelayNs + (long) (jitterDraw * jitterNs), d);
        if (duplicateDraw < duplicateShare) {
            delivery.deliver(extraDelayNs + (long) (duplicateJitterDraw * jitterNs), d);
        }
    }
}
