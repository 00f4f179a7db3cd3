package gullspar.rehearse.net;

import gullspar.peers.Facts;
import gullspar.peers.Identity;
import gullspar.peers.MemberStatus;
import gullspar.peers.Message;
import gullspar.peers.Phase;
import gullspar.peers.Rumor;
import gullspar.peers.Statement;
import gullspar.peers.TrafficStats;
import gullspar.peers.wire.Codec;
import gullspar.peers.wire.Envelope;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Makes a member of the fleet a mad one: behind each of its datagrams go others, numbered as its own, that
 * speak of members which never were. A life that has lied once stays renumbered, since its numbers must not
 * go back.
 */
public final class FalseRumorInjector {
    /** Numbers between two true datagrams: within the window that a receiver keeps of repeated ones. */
    private static final int NUMBERS_PER_DATAGRAM = 32;

    private static final int MAX_RUMOR_BYTES = 160;
    private static final int RUMORS_PER_DATAGRAM =
            (Message.MAX_DATAGRAM_BYTES - Message.MAX_ENVELOPE_BYTES - 100) / MAX_RUMOR_BYTES;

    private final Supplier<Envelope> keys;
    private final SplittableRandom random;
    private final Set<Long> renumberedLives = new HashSet<>();
    private int falseRumorsPerDatagram;
    private int invented;

    /** keys: those that the member has at the moment. */
    public FalseRumorInjector(Supplier<Envelope> keys, long seed) {
        this.keys = keys;
        this.random = new SplittableRandom(seed);
    }

    /** Speaks of so many with each datagram from now on. */
    public void setFalseRumorsPerDatagram(int count) {
        falseRumorsPerDatagram = count;
    }

    /** What becomes of a datagram of the member. */
    List<byte[]> rewrite(byte[] datagram) {
        Message m;
        try {
            if (falseRumorsPerDatagram == 0 && renumberedLives.isEmpty()
                    || keys.get().open(datagram) != null) {
                return List.of(datagram);
            }
            m = Codec.decode(datagram, Envelope.messageOffset(), datagram.length - Envelope.messageOffset());
        } catch (IOException e) {
            throw new UncheckedIOException("a member has sent what is no message", e);
        }
        long life = m.header().from().life();
        if (falseRumorsPerDatagram > 0) {
            renumberedLives.add(life);
        }
        if (!renumberedLives.contains(life)) {
            return List.of(datagram);
        }
        long number = m.header().number() * NUMBERS_PER_DATAGRAM;
        List<byte[]> out = new ArrayList<>();
        out.add(seal(TamperedMessages.withNumber(m, number)));
        for (int left = falseRumorsPerDatagram;
                left > 0 && out.size() < NUMBERS_PER_DATAGRAM;
                left -= RUMORS_PER_DATAGRAM) {
            List<Rumor> rumors = new ArrayList<>();
            for (int i = 0; i < Math.min(left, RUMORS_PER_DATAGRAM); i++) {
                rumors.add(invented());
            }
            out.add(seal(TamperedMessages.withNumber(new Message.News(m.header(), rumors), number + out.size())));
        }
        return out;
    }

    private byte[] seal(Message m) {
        return keys.get().seal(Codec.encode(m));
    }

    private Rumor invented() {
        Identity id = new Identity("ghost" + ++invented, random.nextLong());
        // Nobody is there, but on a live day it must be an address of this machine.
        Statement s = new Statement(
                id,
                1,
                "127.0.0.9:" + (1024 + random.nextInt(60_000)),
                "",
                "",
                "",
                Phase.SERVING,
                1000,
                0,
                0,
                TrafficStats.NONE,
                Facts.NONE);
        return new Rumor(id, 0, MemberStatus.ALIVE, "", 0, s, 0);
    }
}
