package gullspar.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.peers.SimulatedFleet.Node;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Joins, crashes, partitions and network faults of a fleet, in virtual time. */
class PeersTest {
    private static SimulatedFleet settledFleet(long seed, int count) {
        SimulatedFleet t = new SimulatedFleet(seed).start(count);
        assertTrue(t.runUntil(30, t::hasConverged) >= 0, "did not converge");
        return t.run(15);
    }

    @Test
    void allFindEachOtherThroughSeeds() {
        for (int n : new int[] {2, 3, 10, 40}) {
            SimulatedFleet t = new SimulatedFleet(n).start(n);
            double took = t.runUntil(30, t::hasConverged);
            assertTrue(took >= 0 && took < 15, n + " took " + took);
            t.run(30);
            assertTrue(t.hasConverged());
            assertEquals(0, t.falseReports(Change.Kind.SUSPECTED));
            t.living().forEach(l -> assertTrue(l.view().settled(), l.name));
        }
    }

    @Test
    void crashedMemberIsDetectedByAllWithoutFalseSuspicions() {
        SimulatedFleet t = settledFleet(1, 10);
        t.get(4).kill();
        double noticed =
                t.runUntil(30, () -> t.living().stream().anyMatch(l -> l.statusOf(t.get(4)) == View.Status.SUSPECTED));
        assertTrue(noticed >= 0 && noticed < 5, "noticed after " + noticed);
        double took = t.runUntil(60, t::hasConverged);
        assertTrue(took >= 0 && took < 20, "took " + took);
        assertEquals(0, t.falseReports(Change.Kind.SUSPECTED));
    }

    @Test
    void leaveSpreadsQuicklyAndIsFinal() {
        SimulatedFleet t = settledFleet(2, 10);
        Node l = t.get(7);
        l.input(() -> l.peers.leave(t.now));
        assertTrue(t.runUntil(
                        5,
                        () -> t.living().stream().filter(o -> o != l).allMatch(o -> o.statusOf(l) == View.Status.LEFT))
                >= 0);
        l.kill();
        t.run(60);
        t.living().forEach(o -> assertEquals(View.Status.LEFT, o.statusOf(l)));
        assertTrue(
                t.living().stream().flatMap(o -> o.changes.stream()).noneMatch(c -> c.kind() == Change.Kind.SUSPECTED));
    }

    /** Life and revision start anew after a restart, and rumors of the former life must not affect the new one. */
    @Test
    void restartedProcessSupersedesItsFormerLife() {
        SimulatedFleet t = settledFleet(3, 10);
        Node old = t.get(5);
        old.kill();
        t.run(0.3);
        Node back = t.start("p5", old.address, "a1:1", "a2:1", "a3:1");
        double took = t.runUntil(10, () -> t.living().stream()
                .filter(o -> o != back)
                .allMatch(o -> o.statusOf(back) == View.Status.ALIVE && o.statusOf(old) == View.Status.GONE));
        assertTrue(took >= 0 && took < 5, "took " + took);
        t.run(60);
        assertTrue(t.hasConverged());
        assertEquals(0, t.falseReports(Change.Kind.SUSPECTED));
    }

    @Test
    void processRestartedAtAnotherAddressSupersedesItsFormerLife() {
        SimulatedFleet t = settledFleet(4, 10);
        Node old = t.get(5);
        old.kill();
        Node back = t.start("p5", "elsewhere:1", "a1:1", "a2:1", "a3:1");
        double took = t.runUntil(10, () -> t.living().stream()
                .filter(o -> o != back)
                .allMatch(o -> o.statusOf(back) == View.Status.ALIVE
                        && o.view().findByName("p5").id().life() == back.life));
        assertTrue(took >= 0 && took < 5, "took " + took);
        assertTrue(t.runUntil(30, () -> t.living().stream()
                        .allMatch(
                                o -> o.statusOf(old) != View.Status.ALIVE && o.statusOf(old) != View.Status.SUSPECTED))
                >= 0);
        assertEquals(0, t.falseReports(Change.Kind.GONE));
        t.living()
                .forEach(o -> assertEquals(
                        0,
                        o.changes.stream()
                                .filter(c -> c.kind() == Change.Kind.TWIN)
                                .count(),
                        o.name));
    }

    @Test
    void twinsAreReportedOnBothSidesAndBothStayAlive() {
        SimulatedFleet t = settledFleet(5, 10);
        Node one = t.get(5);
        Node other = t.start("p5", "elsewhere:1", "a1:1", "a2:1", "a3:1");
        t.run(30);
        for (Node l : List.of(one, other)) {
            assertTrue(l.changes.stream().anyMatch(c -> c.kind() == Change.Kind.TWIN), l.address);
            assertTrue(l.view().self().twin());
        }
        for (Node l : t.living()) {
            if (l != other && l != one) {
                assertEquals(View.Status.ALIVE, l.statusOf(one));
                assertEquals(View.Status.ALIVE, l.statusOf(other));
                assertTrue(l.view().findByName("p5").twin());
            }
        }
    }

    @Test
    void healedPartitionConvergesWithoutOperator() {
        SimulatedFleet t = settledFleet(6, 20);
        List<Node> a = new ArrayList<>(t.living().subList(0, 10));
        List<Node> b = new ArrayList<>(t.living().subList(10, 20));
        t.partition(a, b, true);
        t.run(120);
        a.forEach(l -> assertEquals(10, l.names(View.Status.GONE).size(), l.name));
        a.forEach(l -> assertFalse(l.peers.cutOff(), "half of the fleet is no minority"));
        t.partition(a, b, false);
        double took = t.runUntil(60, t::hasConverged);
        assertTrue(took >= 0, "did not converge");
        t.run(30);
        assertTrue(t.hasConverged());
    }

    @Test
    void minorityReportsCutOffAndMarksOthersUnknown() {
        SimulatedFleet t = settledFleet(7, 10);
        List<Node> few = new ArrayList<>(t.living().subList(0, 3));
        List<Node> many = new ArrayList<>(t.living().subList(3, 10));
        t.partition(few, many, true);
        t.run(40);
        few.forEach(l -> {
            assertTrue(l.peers.cutOff());
            assertEquals(Set.of(), l.names(View.Status.GONE));
            assertEquals(7, l.names(View.Status.UNKNOWN).size());
        });
        many.forEach(l -> assertFalse(l.peers.cutOff()));
        t.partition(few, many, false);
        assertTrue(t.runUntil(60, () -> t.hasConverged() && few.stream().noneMatch(l -> l.peers.cutOff())) >= 0);
    }

    @Test
    void pausedProcessSuspectsNoMemberAndRefutes() {
        SimulatedFleet t = settledFleet(8, 10);
        Node l = t.get(2);
        l.pause(true);
        t.run(30);
        assertEquals(View.Status.GONE, t.get(1).statusOf(l));
        int before = l.changes.size();
        l.pause(false);
        assertTrue(t.runUntil(30, t::hasConverged) >= 0);
        t.run(20);
        assertTrue(
                l.changes.subList(before, l.changes.size()).stream()
                        .noneMatch(c -> c.kind() == Change.Kind.SUSPECTED || c.kind() == Change.Kind.GONE),
                l.changes.toString());
        assertTrue(l.changes.stream().anyMatch(c -> c.kind() == Change.Kind.OBJECTED));
    }

    /** Each member receives nothing from its predecessor in a ring, but is reachable through others. */
    @Test
    void oneWayLinksInARingMarkNoMemberGone() {
        SimulatedFleet t = settledFleet(9, 10);
        for (int i = 1; i <= 10; i++) {
            t.blockedLinks.add("p" + i + ">p" + (i % 10 + 1));
        }
        t.run(120);
        assertEquals(0, t.falseReports(Change.Kind.GONE));
        assertTrue(t.get(1).view().members().stream().anyMatch(View.Member::indirectOnly));
    }

    /** Its datagrams reach all others and none reach it: sending is no proof of health. */
    @Test
    void memberThatOnlySendsIsMarkedGone() {
        SimulatedFleet t = settledFleet(10, 10);
        Node sendOnly = t.get(3);
        t.living().forEach(l -> t.blockedLinks.add(l.name + ">p3"));
        assertTrue(t.runUntil(60, () -> t.living().stream()
                        .filter(l -> l != sendOnly)
                        .allMatch(l -> l.statusOf(sendOnly) == View.Status.GONE))
                >= 0);
        assertTrue(t.runUntil(30, sendOnly.peers::cutOff) >= 0);
        t.blockedLinks.clear();
        assertTrue(t.runUntil(60, t::hasConverged) >= 0);
    }

    @Test
    void lossAndJitterMarkNoMemberGone() {
        SimulatedFleet t = settledFleet(11, 20);
        t.lossRate = 0.3;
        t.jitterNs = 200 * SimulatedFleet.MS;
        t.duplicateRate = 0.1;
        t.run(300);
        assertEquals(0, t.falseReports(Change.Kind.GONE));
        t.lossRate = 0;
        assertTrue(t.runUntil(60, t::hasConverged) >= 0);
    }

    @Test
    void seventyPercentRestartAfterTwoSecondsSomeAtOtherAddresses() {
        SimulatedFleet t = settledFleet(12, 20);
        for (int i = 1; i <= 14; i++) {
            t.get(i).kill();
        }
        t.run(2);
        for (int i = 1; i <= 14; i++) {
            t.start("p" + i, i % 3 == 0 ? "b" + i + ":1" : "a" + i + ":1", "a1:1", "a2:1", "a4:1");
        }
        double took = t.runUntil(60, t::hasConverged);
        assertTrue(took >= 0, "did not converge");
        assertEquals(0, t.falseReports(Change.Kind.GONE));
    }

    @Test
    void fleetContinuesWithAllSeedsDead() {
        SimulatedFleet t = settledFleet(13, 10);
        for (int i = 1; i <= 3; i++) {
            t.get(i).kill();
        }
        assertTrue(t.runUntil(60, t::hasConverged) >= 0);
        t.start("p1", "a1:1", "a2:1", "a3:1"); // its seeds are all dead: the others find it through theirs
        assertTrue(t.runUntil(120, t::hasConverged) >= 0);
    }

    /** Dead helpers send no nacks either, which must not lower the health of the prober for good. */
    @Test
    void pausedSurvivorRemovesDeadMembersWithinBound() {
        SimulatedFleet t = settledFleet(19, 10);
        Node survivor = t.get(10);
        survivor.pause(true);
        t.run(10);
        List<Node> dead = t.living().stream().filter(l -> l != survivor).toList();
        dead.forEach(Node::kill);
        for (int i = 1; i <= 9; i++) {
            t.start("q" + i, "b" + i + ":1", survivor.address); // does not know the dead members
        }
        survivor.pause(false);
        double took = t.runUntil(600, () -> survivor.peers.size() == 10 && t.hasConverged());
        assertTrue(took >= 0 && took < 180, "after " + took + " s");
    }

    @Test
    void seedsAddedLaterAreProbedAtOnce() {
        SimulatedFleet t = settledFleet(18, 4);
        Node far = t.start("p5", "b5:1"); // neither side knows the other
        assertTrue(t.runUntil(40, t::hasConverged) < 0);
        t.get(2).input(() -> t.get(2).peers.setSeeds(t.now, List.of("b5:1")));
        assertTrue(t.runUntil(10, t::hasConverged) >= 0);
        assertEquals(5, far.peers.size());
    }

    @Test
    void addressOfADeadMemberCanBeReused() {
        SimulatedFleet t = settledFleet(14, 10);
        Node dead = t.get(6);
        dead.kill();
        Node newOwner = t.start("p11", dead.address, "a1:1");
        assertTrue(t.runUntil(30, t::hasConverged) >= 0);
        t.living().stream().filter(l -> l != newOwner).forEach(l -> assertEquals(View.Status.GONE, l.statusOf(dead)));
    }

    @Test
    void flappingMemberCausesNoOtherMemberToBeMarkedGone() {
        SimulatedFleet t = settledFleet(15, 10);
        for (int i = 0; i < 40; i++) {
            t.get(9).kill();
            t.run(0.5);
            t.start("p9", "a9:1", "a1:1", "a2:1");
            t.run(0.5);
        }
        long wrong = t.living().stream()
                .filter(l -> !l.name.equals("p9"))
                .flatMap(l -> l.changes.stream())
                .filter(c -> c.kind() == Change.Kind.GONE && !c.subject().name().equals("p9"))
                .count();
        assertEquals(0, wrong);
        assertTrue(t.runUntil(60, t::hasConverged) >= 0);
    }

    /** A faulty member spreads rumors of 10,000 processes that do not exist. */
    @Test
    void processesReportedByOneMemberAreNotAdmitted() {
        SimulatedFleet t = settledFleet(16, 5);
        Node l = t.get(1);
        Node faulty = t.get(2);
        Message.Header h = new Message.Header(new Identity("p2", faulty.life), 0, faulty.address, 1);
        for (int i = 0; i < 2_000; i++) {
            List<Rumor> ghosts = new ArrayList<>();
            for (int g = 0; g < 5; g++) {
                Identity id = new Identity("ghost" + (i * 5 + g), i * 5 + g + 1);
                ghosts.add(new Rumor(
                        id,
                        0,
                        MemberStatus.ALIVE,
                        "",
                        0,
                        new Statement(
                                id,
                                1,
                                "nowhere:" + g,
                                "",
                                "",
                                "",
                                Phase.SERVING,
                                0,
                                0,
                                0,
                                TrafficStats.NONE,
                                Facts.NONE),
                        0));
            }
            t.inject(l, new Message.News(new Message.Header(h.from(), 0, h.address(), 100_000 + i), ghosts));
            t.run(0.01);
        }
        assertTrue(t.hasConverged());
        t.run(60);
        assertTrue(t.hasConverged());
        t.living().forEach(o -> assertEquals(4, o.view().members().size(), o.name));
    }

    /** Each datagram counts once, and datagrams of an unknown life that answers no probe do not admit it. */
    @Test
    void replayedDatagramsAreIgnored() {
        SimulatedFleet t = settledFleet(17, 5);
        Node l = t.get(1);
        Node dead = t.get(4);
        Message.Header old = l.lastReceived.get(dead.life).header();
        long before = l.peers.counters().duplicates();
        t.inject(l, new Message.News(old, List.of()));
        assertEquals(before + 1, l.peers.counters().duplicates());
        dead.kill();
        assertTrue(t.runUntil(60, t::hasConverged) >= 0);
        Identity ghost = new Identity("p9", 9);
        for (int i = 1; i < 200; i++) {
            t.inject(l, new Message.Ping(new Message.Header(ghost, 0, "a9:1", i), i, 0, true, List.of()));
            t.run(0.1);
        }
        assertTrue(t.hasConverged());
        assertNotNull(l.view().findByName("p4"));
    }

    @Test
    void factsSpreadToAllMembersUnchanged() {
        SimulatedFleet t = settledFleet(18, 10);
        Node l = t.get(3);
        Facts f = Facts.NONE.with("share", 1, 77L).with("later", 9, new byte[] {1, 2, 3});
        l.input(() -> l.peers.updateSelf(t.now, Phase.DRAINING, "c2", new TrafficStats(5, 1, 2), f));
        assertTrue(t.runUntil(10, () -> t.living().stream().filter(o -> o != l).allMatch(o -> {
                    Statement s = o.view().findByName("p3").statement();
                    return s.phase() == Phase.DRAINING
                            && s.facts().equals(f)
                            && s.config().equals("c2");
                }))
                >= 0);
        Statement seen = t.get(5).view().findByName("p3").statement();
        assertEquals(77, seen.facts().number("share", 1).getAsLong());
        assertTrue(seen.facts().number("later", 8).isEmpty());
    }

    @Test
    void sameInputsGiveSameOutputs() {
        List<String> first = runScenario(19);
        assertEquals(first, runScenario(19));
        assertFalse(first.equals(runScenario(20)));
    }

    private static List<String> runScenario(long seed) {
        SimulatedFleet t = new SimulatedFleet(seed).start(8);
        t.lossRate = 0.1;
        t.run(20);
        t.get(2).kill();
        t.run(20);
        List<String> all = new ArrayList<>();
        t.nodes.values().forEach(l -> l.changes.forEach(c -> all.add(l.name + c)));
        all.add("sent " + t.sent);
        return all;
    }
}
