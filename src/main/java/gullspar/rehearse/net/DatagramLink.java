package gullspar.rehearse.net;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The datagrams of one direction of a link: unlike a connection's bytes they may be lost, reordered, duplicated,
 * truncated or corrupted. Used both in virtual time and by the relay of a live day.
 */
public final class DatagramLink {
    /** Datagrams held while the link is stalled; further ones are dropped. */
    private static final int MAX_HELD = 10_000;

    /** Impairments of a link, besides loss and delay. */
    public enum Impairment {
        /** Each datagram gets a random additional delay. */
        JITTER,
        /** A share of the datagrams is delivered twice. */
        TWICE,
        /** A share of the datagrams is truncated. */
        TORN,
        /** A share of the datagrams has one bit flipped. */
        FLIPPED,
        /** The datagrams are held until the impairment ends. */
        STALLED
    }

    /** Receives the datagrams at the far end, each with its delay from now. */
    public interface Delivery {
        void deliver(long delayNs, byte[] datagram);
    }

    private final List<byte[]> held = new ArrayList<>();
    private long extraDelayNs;
    private double loss;
    /** Number of cuts in effect: faults may overlap. */
    private int activeCuts;

    private double jitterNs;
    private double duplicateShare;
    private double truncateShare;
    private double bitFlipShare;
    private boolean stalled;
    private FalseRumorInjector falseRumorInjector;

    /** Sets a delay added to the base delay; 0 removes it. */
    public void setExtraDelayNs(long addedNs) {
        extraDelayNs = addedNs;
    }

    /** Sets the share of datagrams lost, 0 to 1. */
    public void setLoss(double share) {
        loss = share;
    }

    /** Adds or removes one cut; nothing is carried while any is in effect. */
    public void cut(boolean on) {
        activeCuts = Math.max(0, activeCuts + (on ? 1 : -1));
    }

    /** Sets the injector that rewrites datagrams before they are sent. */
    public void falseRumorInjector(FalseRumorInjector injector) {
        falseRumorInjector = injector;
    }

    /**
     * Sets an impairment; 0 ends it. The value is for JITTER the maximum delay in ns, for STALLED any positive number,
     * for the others the share affected, 0 to 1. When STALLED ends, the held datagrams are passed to the delivery.
     */
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

    /** Sends a datagram, rewritten by the injector if one is set. */
    public void send(byte[] datagram, SplittableRandom random, Delivery delivery) {
        if (falseRumorInjector == null) {
            transmit(datagram, random, delivery);
        } else {
            falseRumorInjector.rewrite(datagram).forEach(d -> transmit(d, random, delivery));
        }
    }

    private void transmit(byte[] datagram, SplittableRandom random, Delivery delivery) {
        // Always drawn: removing one impairment must not change the random draws of the others.
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
        byte[] transmitted = datagram;
        if (truncateDraw < truncateShare) {
            transmitted = Arrays.copyOf(transmitted, Math.floorMod(position, transmitted.length));
        } else if (bitFlipDraw < bitFlipShare) {
            transmitted = transmitted.clone();
            transmitted[Math.floorMod(position, transmitted.length)] ^= (byte) (1 << (position >>> 28 & 7));
        }
        if (stalled) {
            if (held.size() < MAX_HELD) {
                held.add(transmitted);
            }
            return;
        }
        delivery.deliver(extraDelayNs + (long) (jitterDraw * jitterNs), transmitted);
        if (duplicateDraw < duplicateShare) {
            delivery.deliver(extraDelayNs + (long) (duplicateJitterDraw * jitterNs), transmitted);
        }
    }
}
