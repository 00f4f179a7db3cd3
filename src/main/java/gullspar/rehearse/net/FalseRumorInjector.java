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
 * Makes a member faulty: follows each of its datagrams by others, numbered as its own, with rumors about members
 * that do not exist. A life that has once sent false rumors stays renumbered, since its numbers must not
 * decrease.
 */
public final class FalseRumorInjector {
    /** Sequence numbers reserved per genuine datagram: fewer than the receiver's replay window. */
    private static final int NUMBERS_PER_DATAGRAM = 32;

    private static final int MAX_RUMOR_BYTES = 160;
    private static final int RUMORS_PER_DATAGRAM =
            (Message.MAX_DATAGRAM_BYTES - Message.MAX_ENVELOPE_BYTES - 100) / MAX_RUMOR_BYTES;

    private final Supplier<Envelope> keys;
    private final SplittableRandom random;
    private final Set<Long> renumberedLives = new HashSet<>();
    private int falseRumorsPerDatagram;
    private int inventedCount;

    /** keys: supplies the member's current keys. */
    public FalseRumorInjector(Supplier<Envelope> keys, long seed) {
        this.keys = keys;
        this.random = new SplittableRandom(seed);
    }

    /** Sets the number of false rumors that follow each datagram; 0 sends none. */
    public void setFalseRumorsPerDatagram(int rumorsPerDatagram) {
        falseRumorsPerDatagram = rumorsPerDatagram;
    }

    /** Returns the datagrams to send in place of one from the member. */
    List<byte[]> rewrite(byte[] datagram) {
        Message message;
        try {
            if (falseRumorsPerDatagram == 0 && renumberedLives.isEmpty()
                    || keys.get().open(datagram) != null) {
                return List.of(datagram);
            }
            message = Codec.decode(datagram, Envelope.messageOffset(), datagram.length - Envelope.messageOffset());
        } catch (IOException e) {
            throw new UncheckedIOException("a member sent a datagram that cannot be decoded as a message", e);
        }
        long life = message.header().from().life();
        if (falseRumorsPerDatagram > 0) {
            renumberedLives.add(life);
        }
        if (!renumberedLives.contains(life)) {
            return List.of(datagram);
        }
        long number = message.header().sequenceNumber() * NUMBERS_PER_DATAGRAM;
        List<byte[]> out = new ArrayList<>();
        out.add(seal(TamperedMessages.withNumber(message, number)));
        for (int left = falseRumorsPerDatagram;
                left > 0 && out.size() < NUMBERS_PER_DATAGRAM;
                left -= RUMORS_PER_DATAGRAM) {
            List<Rumor> rumors = new ArrayList<>();
            for (int i = 0; i < Math.min(left, RUMORS_PER_DATAGRAM); i++) {
                rumors.add(inventRumor());
            }
            out.add(seal(TamperedMessages.withNumber(new Message.News(message.header(), rumors), number + out.size())));
        }
        return out;
    }

    private byte[] seal(Message message) {
        return keys.get().seal(Codec.encode(message));
    }

    private Rumor inventRumor() {
        Identity id = new Identity("ghost" + ++inventedCount, random.nextLong());
        // No member has this address, but on a live day it must be one of the local machine.
        Statement statement = new Statement(
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
        return new Rumor(id, 0, MemberStatus.ALIVE, "", 0, statement, 0);
    }
}
