package gullspar.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Properties of merging, and of the state machine under arbitrary authenticated messages. */
class PeersPropertiesTest {
    @Provide
    Arbitrary<MemberState> states() {
        return Combinators.combine(Arbitraries.integers().between(0, 4), Arbitraries.of(MemberStatus.class))
                .as(MemberState::new);
    }

    @Provide
    Arbitrary<Map<Long, MemberState>> views() {
        return Arbitraries.maps(Arbitraries.longs().between(1, 6), states()).ofMaxSize(6);
    }

    private static Map<Long, MemberState> merge(Map<Long, MemberState> a, Map<Long, MemberState> b) {
        Map<Long, MemberState> merged = new HashMap<>(a);
        b.forEach((life, h) -> merged.merge(life, h, MemberState::merge));
        return merged;
    }

    @Property(tries = 2000, seed = "111")
    void mergingViewsIsCommutativeAssociativeAndIdempotent(
            @ForAll("views") Map<Long, MemberState> a,
            @ForAll("views") Map<Long, MemberState> b,
            @ForAll("views") Map<Long, MemberState> c) {
        assertEquals(merge(a, b), merge(b, a));
        assertEquals(merge(merge(a, b), c), merge(a, merge(b, c)));
        assertEquals(a, merge(a, a));
        merge(a, b).forEach((life, h) -> assertTrue(h.compareTo(a.getOrDefault(life, h)) >= 0));
    }

    /** LEFT is final, and only a higher incarnation clears an accusation. */
    @Property(tries = 2000, seed = "112")
    void mergeNeverRegresses(@ForAll("states") MemberState a, @ForAll("states") MemberState b) {
        MemberState m = a.merge(b);
        assertTrue(a.status() != MemberStatus.LEFT || m.status() == MemberStatus.LEFT);
        assertTrue(m.status() == MemberStatus.LEFT || m.incarnation() >= a.incarnation());
        assertTrue(!a.accuses() || m.status() != MemberStatus.ALIVE || m.incarnation() > a.incarnation());
    }

    private static final String[] NAMES = {"p1", "p2", "p3", "other", "me"};

    private static Identity id(SplittableRandom r) {
        return new Identity(NAMES[r.nextInt(NAMES.length)], r.nextInt(6));
    }

    private static int smallOrMaximum(SplittableRandom r) {
        return r.nextInt(8) == 0 ? MemberState.MAX_INCARNATION - r.nextInt(2) : r.nextInt(5);
    }

    private static Rumor rumor(SplittableRandom r) {
        Identity id = id(r);
        Statement s = r.nextBoolean()
                ? null
                : new Statement(
                        id,
                        1 + Math.min(100, smallOrMaximum(r)),
                        "a" + r.nextInt(9) + ":1",
                        "",
                        "v",
                        "",
                        Phase.values()[r.nextInt(Phase.values().length)],
                        r.nextLong(1L << 40),
                        r.nextInt(4),
                        0,
                        TrafficStats.NONE,
                        Facts.NONE);
        return new Rumor(
                id,
                smallOrMaximum(r),
                MemberStatus.values()[r.nextInt(4)],
                r.nextBoolean() ? "" : "p1",
                r.nextLong(1L << 32),
                s,
                r.nextLong(1L << 32));
    }

    private static List<Rumor> rumors(SplittableRandom r) {
        List<Rumor> all = new ArrayList<>();
        for (int i = r.nextInt(5); i > 0; i--) {
            all.add(rumor(r));
        }
        return all;
    }

    private static Message message(SplittableRandom r, long sequenceNumber) {
        Message.Header h = new Message.Header(id(r), smallOrMaximum(r), "a" + r.nextInt(9) + ":1", sequenceNumber);
        return switch (r.nextInt(8)) {
            case 0 -> new Message.Ping(h, r.nextLong(), r.nextInt(4), r.nextBoolean(), rumors(r));
            case 1 -> new Message.Ack(h, r.nextLong(), id(r), smallOrMaximum(r), rumors(r));
            case 2 -> new Message.PingReq(h, r.nextLong(), id(r), "a" + r.nextInt(9) + ":1", rumors(r));
            case 3 -> new Message.Nack(h, r.nextLong(), rumors(r));
            case 4 -> new Message.News(h, rumors(r));
            case 5 -> new Message.Digest(
                    h,
                    new ArrayList<>(
                            java.util.Collections.nCopies(r.nextInt(3) == 0 ? 3 : Reconciler.RANGES, r.nextLong())));
            case 6 -> new Message.Listing(
                    h,
                    r.nextLong(),
                    r.nextLong(),
                    List.of(new Message.KnownState(
                            r.nextInt(6), smallOrMaximum(r), MemberStatus.values()[r.nextInt(4)], smallOrMaximum(r))));
            default -> new Message.Want(h, List.of((long) r.nextInt(6), r.nextLong()));
        };
    }

    /**
     * Three members, one of which receives arbitrary messages of a key holder: no exception is thrown, and the members
     * kept and datagrams sent stay within bounds.
     */
    @Property(tries = 60, seed = "113")
    void arbitraryAuthenticatedMessagesAreHandledWithinBounds(@ForAll long seed) {
        SplittableRandom r = new SplittableRandom(seed);
        SimulatedFleet fleet = new SimulatedFleet(seed);
        fleet.start("p1", "a1:1", 1, "a2:1");
        fleet.start("p2", "a2:1", 2, "a1:1");
        fleet.start("p3", "a3:1", 3, "a1:1");
        fleet.run(15);
        long sent = fleet.sent;
        for (int i = 0; i < 500; i++) {
            fleet.inject(fleet.get(1), message(r, 1_000 + i));
            if (r.nextInt(4) == 0) {
                fleet.run(0.05);
            }
        }
        fleet.run(10);
        assertTrue(
                fleet.get(1).view().members().size() <= 40,
                "kept " + fleet.get(1).view().members().size());
        assertTrue(fleet.sent - sent < 10_000, "sent " + (fleet.sent - sent));
        fleet.get(1).peers.view(fleet.now);
    }
}
