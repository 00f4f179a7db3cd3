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
        SimulatedFleet fleet = new SimulatedFleet(seed).start(count);
        assertTrue(fleet.runUntil(30, fleet::hasConverged) >= 0, "did not converge");
        return fleet.run(15);
    }

    @Test
    void allFindEachOtherThroughSeeds() {
        for (int n : new int[] {2, 3, 10, 40}) {
            SimulatedFleet fleet = new SimulatedFleet(n).start(n);
            double took = fleet.runUntil(30, fleet::hasConverged);
            assertTrue(took >= 0 && took < 15, n + " took " + took);
            fleet.run(30);
            assertTrue(fleet.hasConverged());
            assertEquals(0, fleet.falseReports(Change.Kind.SUSPECTED));
            fleet.living().forEach(node -> assertTrue(node.view().settled(), node.name));
        }
    }

    @Test
    void crashedMemberIsDetectedByAllWithoutFalseSuspicions() {
        SimulatedFleet fleet = settledFleet(1, 10);
        fleet.get(4).kill();
        double noticed = fleet.runUntil(30, () -> fleet.living().stream()
                .anyMatch(node -> node.statusOf(fleet.get(4)) == View.Status.SUSPECTED));
        assertTrue(noticed >= 0 && noticed < 5, "noticed after " + noticed);
        double took = fleet.runUntil(60, fleet::hasConverged);
        assertTrue(took >= 0 && took < 20, "took " + took);
        assertEquals(0, fleet.falseReports(Change.Kind.SUSPECTED));
    }

    @Test
    void leaveSpreadsQuicklyAndIsFinal() {
        SimulatedFleet fleet = settledFleet(2, 10);
        Node node = fleet.get(7);
        node.input(() -> node.peers.leave(fleet.now));
        assertTrue(fleet.runUntil(5, () -> fleet.living().stream()
                        .filter(o -> o != node)
                        .allMatch(o -> o.statusOf(node) == View.Status.LEFT))
                >= 0);
        node.kill();
        fleet.run(60);
        fleet.living().forEach(o -> assertEquals(View.Status.LEFT, o.statusOf(node)));
        assertTrue(fleet.living().stream()
                .flatMap(o -> o.changes.stream())
                .noneMatch(c -> c.kind() == Change.Kind.SUSPECTED));
    }

    /** Life and revision start anew after a restart, and rumors of the former life must not affect the new one. */
    @Test
    void restartedProcessSupersedesItsFormerLife() {
        SimulatedFleet fleet = settledFleet(3, 10);
        Node old = fleet.get(5);
        old.kill();
        fleet.run(0.3);
        Node back = fleet.start("p5", old.address, "a1:1", "a2:1", "a3:1");
        double took = fleet.runUntil(10, () -> fleet.living().stream()
                .filter(o -> o != back)
                .allMatch(o -> o.statusOf(back) == View.Status.ALIVE && o.statusOf(old) == View.Status.GONE));
        assertTrue(took >= 0 && took < 5, "took " + took);
        fleet.run(60);
        assertTrue(fleet.hasConverged());
        assertEquals(0, fleet.falseReports(Change.Kind.SUSPECTED));
    }

    @Test
    void processRestartedAtAnotherAddressSupersedesItsFormerLife() {
        SimulatedFleet fleet = settledFleet(4, 10);
        Node old = fleet.get(5);
        old.kill();
        Node back = fleet.start("p5", "elsewhere:1", "a1:1", "a2:1", "a3:1");
        double took = fleet.runUntil(10, () -> fleet.living().stream()
                .filter(o -> o != back)
                .allMatch(o -> o.statusOf(back) == View.Status.ALIVE
                        && o.view().findByName("p5").id().life() == back.life));
        assertTrue(took >= 0 && took < 5, "took " + took);
        assertTrue(fleet.runUntil(30, () -> fleet.living().stream()
                        .allMatch(
                                o -> o.statusOf(old) != View.Status.ALIVE && o.statusOf(old) != View.Status.SUSPECTED))
                >= 0);
        assertEquals(0, fleet.falseReports(Change.Kind.GONE));
        fleet.living()
                .forEach(o -> assertEquals(
                        0,
                        o.changes.stream()
                                .filter(c -> c.kind() == Change.Kind.TWIN)
                                .count(),
                        o.name));
    }

    @Test
    void twinsAreReportedOnBothSidesAndBothStayAlive() {
        SimulatedFleet fleet = settledFleet(5, 10);
        Node one = fleet.get(5);
        Node other = fleet.start("p5", "elsewhere:1", "a1:1", "a2:1", "a3:1");
        fleet.run(30);
        for (Node node : List.of(one, other)) {
            assertTrue(node.changes.stream().anyMatch(c -> c.kind() == Change.Kind.TWIN), node.address);
            assertTrue(node.view().self().twin());
        }
        for (Node node : fleet.living()) {
            if (node != other && node != one) {
                assertEquals(View.Status.ALIVE, node.statusOf(one));
                assertEquals(View.Status.ALIVE, node.statusOf(other));
                assertTrue(node.view().findByName("p5").twin());
            }
        }
    }

    @Test
    void healedPartitionConvergesWithoutOperator() {
        SimulatedFleet fleet = settledFleet(6, 20);
        List<Node> a = new ArrayList<>(fleet.living().subList(0, 10));
        List<Node> b = new ArrayList<>(fleet.living().subList(10, 20));
        fleet.partition(a, b, true);
        fleet.run(120);
        a.forEach(node -> assertEquals(10, node.names(View.Status.GONE).size(), node.name));
        a.forEach(node -> assertFalse(node.peers.cutOff(), "half of the fleet is no minority"));
        fleet.partition(a, b, false);
        double took = fleet.runUntil(60, fleet::hasConverged);
        assertTrue(took >= 0, "did not converge");
        fleet.run(30);
        assertTrue(fleet.hasConverged());
    }

    @Test
    void minorityReportsCutOffAndMarksOthersUnknown() {
        SimulatedFleet fleet = settledFleet(7, 10);
        List<Node> few = new ArrayList<>(fleet.living().subList(0, 3));
        List<Node> many = new ArrayList<>(fleet.living().subList(3, 10));
        fleet.partition(few, many, true);
        fleet.run(40);
        few.forEach(node -> {
            assertTrue(node.peers.cutOff());
            assertEquals(Set.of(), node.names(View.Status.GONE));
            assertEquals(7, node.names(View.Status.UNKNOWN).size());
        });
        many.forEach(node -> assertFalse(node.peers.cutOff()));
        fleet.partition(few, many, false);
        assertTrue(fleet.runUntil(60, () -> fleet.hasConverged() && few.stream().noneMatch(node -> node.peers.cutOff()))
                >= 0);
    }

    @Test
    void pausedProcessSuspectsNoMemberAndRefutes() {
        SimulatedFleet fleet = settledFleet(8, 10);
        Node node = fleet.get(2);
        node.pause(true);
        fleet.run(30);
        assertEquals(View.Status.GONE, fleet.get(1).statusOf(node));
        int before = node.changes.size();
        node.pause(false);
        assertTrue(fleet.runUntil(30, fleet::hasConverged) >= 0);
        fleet.run(20);
        assertTrue(
                node.changes.subList(before, node.changes.size()).stream()
                        .noneMatch(c -> c.kind() == Change.Kind.SUSPECTED || c.kind() == Change.Kind.GONE),
                node.changes.toString());
        assertTrue(node.changes.stream().anyMatch(c -> c.kind() == Change.Kind.OBJECTED));
    }

    /** Each member receives nothing from its predecessor in a ring, but is reachable through others. */
    @Test
    void oneWayLinksInARingMarkNoMemberGone() {
        SimulatedFleet fleet = settledFleet(9, 10);
        for (int i = 1; i <= 10; i++) {
            fleet.blockedLinks.add("p" + i + ">p" + (i % 10 + 1));
        }
        fleet.run(120);
        assertEquals(0, fleet.falseReports(Change.Kind.GONE));
        assertTrue(fleet.get(1).view().members().stream().anyMatch(View.Member::indirectOnly));
    }

    /** Its datagrams reach all others and none reach it: sending is no proof of health. */
    @Test
    void memberThatOnlySendsIsMarkedGone() {
        SimulatedFleet fleet = settledFleet(10, 10);
        Node sendOnly = fleet.get(3);
        fleet.living().forEach(node -> fleet.blockedLinks.add(node.name + ">p3"));
        assertTrue(fleet.runUntil(60, () -> fleet.living().stream()
                        .filter(node -> node != sendOnly)
                        .allMatch(node -> node.statusOf(sendOnly) == View.Status.GONE))
                >= 0);
        assertTrue(fleet.runUntil(30, sendOnly.peers::cutOff) >= 0);
        fleet.blockedLinks.clear();
        assertTrue(fleet.runUntil(60, fleet::hasConverged) >= 0);
    }

    @Test
    void lossAndJitterMarkNoMemberGone() {
        SimulatedFleet fleet = settledFleet(11, 20);
        fleet.lossRate = 0.3;
        fleet.jitterNs = 200 * SimulatedFleet.MS;
        fleet.duplicateRate = 0.1;
        fleet.run(300);
        assertEquals(0, fleet.falseReports(Change.Kind.GONE));
        fleet.lossRate = 0;
        assertTrue(fleet.runUntil(60, fleet::hasConverged) >= 0);
    }

    @Test
    void seventyPercentRestartAfterTwoSecondsSomeAtOtherAddresses() {
        SimulatedFleet fleet = settledFleet(12, 20);
        for (int i = 1; i <= 14; i++) {
            fleet.get(i).kill();
        }
        fleet.run(2);
        for (int i = 1; i <= 14; i++) {
            fleet.start("p" + i, i % 3 == 0 ? "b" + i + ":1" : "a" + i + ":1", "a1:1", "a2:1", "a4:1");
        }
        double took = fleet.runUntil(60, fleet::hasConverged);
        assertTrue(took >= 0, "did not converge");
        assertEquals(0, fleet.falseReports(Change.Kind.GONE));
    }

    @Test
    void fleetContinuesWithAllSeedsDead() {
        SimulatedFleet fleet = settledFleet(13, 10);
        for (int i = 1; i <= 3; i++) {
            fleet.get(i).kill();
        }
        assertTrue(fleet.runUntil(60, fleet::hasConverged) >= 0);
        fleet.start("p1", "a1:1", "a2:1", "a3:1"); // its seeds are all dead: the others find it through theirs
        assertTrue(fleet.runUntil(120, fleet::hasConverged) >= 0);
    }

    /** Dead helpers send no nacks either, which must not lower the health of the prober for good. */
    @Test
    void pausedSurvivorRemovesDeadMembersWithinBound() {
        SimulatedFleet fleet = settledFleet(19, 10);
        Node survivor = fleet.get(10);
        survivor.pause(true);
        fleet.run(10);
        List<Node> dead =
                fleet.living().stream().filter(node -> node != survivor).toList();
        dead.forEach(Node::kill);
        for (int i = 1; i <= 9; i++) {
            fleet.start("q" + i, "b" + i + ":1", survivor.address); // does not know the dead members
        }
        survivor.pause(false);
        double took = fleet.runUntil(600, () -> survivor.peers.size() == 10 && fleet.hasConverged());
        assertTrue(took >= 0 && took < 180, "after " + took + " s");
    }

    @Test
    void seedsAddedLaterAreProbedAtOnce() {
        SimulatedFleet fleet = settledFleet(18, 4);
        Node far = fleet.start("p5", "b5:1"); // neither side knows the other
        assertTrue(fleet.runUntil(40, fleet::hasConverged) < 0);
        fleet.get(2).input(() -> fleet.get(2).peers.setSeeds(fleet.now, List.of("b5:1")));
        assertTrue(fleet.runUntil(10, fleet::hasConverged) >= 0);
        assertEquals(5, far.peers.size());
    }

    @Test
    void addressOfADeadMemberCanBeReused() {
        SimulatedFleet fleet = settledFleet(14, 10);
        Node dead = fleet.get(6);
        dead.kill();
        Node newOwner = fleet.start("p11", dead.address, "a1:1");
        assertTrue(fleet.runUntil(30, fleet::hasConverged) >= 0);
        fleet.living().stream()
                .filter(node -> node != newOwner)
                .forEach(node -> assertEquals(View.Status.GONE, node.statusOf(dead)));
    }

    @Test
    void flappingMemberCausesNoOtherMemberToBeMarkedGone() {
        SimulatedFleet fleet = settledFleet(15, 10);
        for (int i = 0; i < 40; i++) {
            fleet.get(9).kill();
            fleet.run(0.5);
            fleet.start("p9", "a9:1", "a1:1", "a2:1");
            fleet.run(0.5);
        }
        long wrong = fleet.living().stream()
                .filter(node -> !node.name.equals("p9"))
                .flatMap(node -> node.changes.stream())
                .filter(c -> c.kind() == Change.Kind.GONE && !c.subject().name().equals("p9"))
                .count();
        assertEquals(0, wrong);
        assertTrue(fleet.runUntil(60, fleet::hasConverged) >= 0);
    }

    /** A faulty member spreads rumors of 10,000 processes that do not exist. */
    @Test
    void processesReportedByOneMemberAreNotAdmitted() {
        SimulatedFleet fleet = settledFleet(16, 5);
        Node node = fleet.get(1);
        Node faulty = fleet.get(2);
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
            fleet.inject(node, new Message.News(new Message.Header(h.from(), 0, h.address(), 100_000 + i), ghosts));
            fleet.run(0.01);
        }
        assertTrue(fleet.hasConverged());
        fleet.run(60);
        assertTrue(fleet.hasConverged());
        fleet.living().forEach(o -> assertEquals(4, o.view().members().size(), o.name));
    }

    /** Each datagram counts once, and datagrams of an unknown life that answers no probe do not admit it. */
    @Test
    void replayedDatagramsAreIgnored() {
        SimulatedFleet fleet = settledFleet(17, 5);
        Node node = fleet.get(1);
        Node dead = fleet.get(4);
        Message.Header old = node.lastReceived.get(dead.life).header();
        long before = node.peers.counters().duplicates();
        fleet.inject(node, new Message.News(old, List.of()));
        assertEquals(before + 1, node.peers.counters().duplicates());
        dead.kill();
        assertTrue(fleet.runUntil(60, fleet::hasConverged) >= 0);
        Identity ghost = new Identity("p9", 9);
        for (int i = 1; i < 200; i++) {
            fleet.inject(node, new Message.Ping(new Message.Header(ghost, 0, "a9:1", i), i, 0, true, List.of()));
            fleet.run(0.1);
        }
        assertTrue(fleet.hasConverged());
        assertNotNull(node.view().findByName("p4"));
    }

    @Test
    void factsSpreadToAllMembersUnchanged() {
        SimulatedFleet fleet = settledFleet(18, 10);
        Node node = fleet.get(3);
        Facts f = Facts.NONE.with("share", 1, 77L).with("later", 9, new byte[] {1, 2, 3});
        node.input(() -> node.peers.updateSelf(fleet.now, Phase.DRAINING, "c2", new TrafficStats(5, 1, 2), f));
        assertTrue(fleet.runUntil(
                        10, () -> fleet.living().stream().filter(o -> o != node).allMatch(o -> {
                            Statement s = o.view().findByName("p3").statement();
                            return s.phase() == Phase.DRAINING
                                    && s.facts().equals(f)
                                    && s.config().equals("c2");
                        }))
                >= 0);
        Statement seen = fleet.get(5).view().findByName("p3").statement();
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
        SimulatedFleet fleet = new SimulatedFleet(seed).start(8);
        fleet.lossRate = 0.1;
        fleet.run(20);
        fleet.get(2).kill();
        fleet.run(20);
        List<String> all = new ArrayList<>();
        fleet.nodes.values().forEach(node -> node.changes.forEach(c -> all.add(node.name + c)));
        all.add("sent " + fleet.sent);
        return all;
    }
}
