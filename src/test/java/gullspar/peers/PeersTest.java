package gullspar.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.peers.SimulatedFleet.Life;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** A fleet through joins, deaths, cuts and worse, in virtual time. */
class PeersTest {
    private static SimulatedFleet settled(long seed, int count) {
        SimulatedFleet t = new SimulatedFleet(seed).start(count);
        assertTrue(t.until(30, t::agreed) >= 0, "did not agree");
        return t.run(15);
    }

    @Test
    void allFindEachOtherThroughSeeds() {
        for (int n : new int[] {2, 3, 10, 40}) {
            SimulatedFleet t = new SimulatedFleet(n).start(n);
            double took = t.until(30, t::agreed);
            assertTrue(took >= 0 && took < 15, n + " took " + took);
            t.run(30);
            assertTrue(t.agreed());
            assertEquals(0, t.wrong(Change.Kind.SUSPECTED));
            t.living().forEach(l -> assertTrue(l.view().settled(), l.name));
        }
    }

    @Test
    void aDeathIsNoticedByAllAndNobodyElseIsBlamed() {
        SimulatedFleet t = settled(1, 10);
        t.get(4).kill();
        double noticed = t.until(30, () -> t.living().stream().anyMatch(l -> l.of(t.get(4)) == View.Status.SUSPECTED));
        assertTrue(noticed >= 0 && noticed < 5, "noticed after " + noticed);
        double took = t.until(60, t::agreed);
        assertTrue(took >= 0 && took < 20, "took " + took);
        assertEquals(0, t.wrong(Change.Kind.SUSPECTED));
    }

    @Test
    void goodbyeIsHeardAtOnceAndIsFinal() {
        SimulatedFleet t = settled(2, 10);
        Life l = t.get(7);
        l.input(() -> l.peers.leave(t.now));
        assertTrue(t.until(5, () -> t.living().stream().filter(o -> o != l).allMatch(o -> o.of(l) == View.Status.LEFT))
                >= 0);
        l.kill();
        t.run(60);
        t.living().forEach(o -> assertEquals(View.Status.LEFT, o.of(l)));
        assertTrue(
                t.living().stream().flatMap(o -> o.changes.stream()).noneMatch(c -> c.kind() == Change.Kind.SUSPECTED));
    }

    /** Its state is lost: life and revision begin anew, and no rumor of the former life holds it down. */
    @Test
    void aProcessThatComesBackSupersedesItsFormerSelf() {
        SimulatedFleet t = settled(3, 10);
        Life old = t.get(5);
        old.kill();
        t.run(0.3);
        Life back = t.start("p5", old.address, "a1:1", "a2:1", "a3:1");
        double took = t.until(10, () -> t.living().stream()
                .filter(o -> o != back)
                .allMatch(o -> o.of(back) == View.Status.ALIVE && o.of(old) == View.Status.GONE));
        assertTrue(took >= 0 && took < 5, "took " + took);
        t.run(60);
        assertTrue(t.agreed());
        assertEquals(0, t.wrong(Change.Kind.SUSPECTED));
    }

    @Test
    void aProcessThatComesBackElsewhereDoesSoToo() {
        SimulatedFleet t = settled(4, 10);
        Life old = t.get(5);
        old.kill();
        Life back = t.start("p5", "elsewhere:1", "a1:1", "a2:1", "a3:1");
        double took = t.until(10, () -> t.living().stream()
                .filter(o -> o != back)
                .allMatch(o -> o.of(back) == View.Status.ALIVE
                        && o.view().named("p5").id().life() == back.life));
        assertTrue(took >= 0 && took < 5, "took " + took);
        assertTrue(t.until(30, () -> t.living().stream()
                        .allMatch(o -> o.of(old) != View.Status.ALIVE && o.of(old) != View.Status.SUSPECTED))
                >= 0);
        assertEquals(0, t.wrong(Change.Kind.GONE));
        t.living()
                .forEach(o -> assertEquals(
                        0,
                        o.changes.stream()
                                .filter(c -> c.kind() == Change.Kind.TWIN)
                                .count(),
                        o.name));
    }

    @Test
    void twoThatLiveUnderOneNameAreNamedOnBothSidesAndNeitherGivesWay() {
        SimulatedFleet t = settled(5, 10);
        Life one = t.get(5);
        Life other = t.start("p5", "elsewhere:1", "a1:1", "a2:1", "a3:1");
        t.run(30);
        for (Life l : List.of(one, other)) {
            assertTrue(l.changes.stream().anyMatch(c -> c.kind() == Change.Kind.TWIN), l.address);
            assertTrue(l.view().self().twin());
        }
        for (Life l : t.living()) {
            if (l != other && l != one) {
                assertEquals(View.Status.ALIVE, l.of(one));
                assertEquals(View.Status.ALIVE, l.of(other));
                assertTrue(l.view().named("p5").twin());
            }
        }
    }

    @Test
    void twoHalvesFindEachOtherAgainWithNoOperator() {
        SimulatedFleet t = settled(6, 20);
        List<Life> a = new ArrayList<>(t.living().subList(0, 10));
        List<Life> b = new ArrayList<>(t.living().subList(10, 20));
        t.partition(a, b, true);
        t.run(120);
        a.forEach(l -> assertEquals(10, l.names(View.Status.GONE).size(), l.name));
        a.forEach(l -> assertFalse(l.peers.cutOff(), "half is no minority"));
        t.partition(a, b, false);
        double took = t.until(60, t::agreed);
        assertTrue(took >= 0, "never");
        t.run(30);
        assertTrue(t.agreed());
    }

    @Test
    void aMinoritySaysThatItIsOneAndGuessesNothing() {
        SimulatedFleet t = settled(7, 10);
        List<Life> few = new ArrayList<>(t.living().subList(0, 3));
        List<Life> many = new ArrayList<>(t.living().subList(3, 10));
        t.partition(few, many, true);
        t.run(40);
        few.forEach(l -> {
            assertTrue(l.peers.cutOff());
            assertEquals(Set.of(), l.names(View.Status.GONE));
            assertEquals(7, l.names(View.Status.UNKNOWN).size());
        });
        many.forEach(l -> assertFalse(l.peers.cutOff()));
        t.partition(few, many, false);
        assertTrue(t.until(60, () -> t.agreed() && few.stream().noneMatch(l -> l.peers.cutOff())) >= 0);
    }

    @Test
    void whoStoodStillBlamesNobodyAndObjects() {
        SimulatedFleet t = settled(8, 10);
        Life l = t.get(2);
        l.pause(true);
        t.run(30);
        assertEquals(View.Status.GONE, t.get(1).of(l));
        int before = l.changes.size();
        l.pause(false);
        assertTrue(t.until(30, t::agreed) >= 0);
        t.run(20);
        assertTrue(
                l.changes.subList(before, l.changes.size()).stream()
                        .noneMatch(c -> c.kind() == Change.Kind.SUSPECTED || c.kind() == Change.Kind.GONE),
                l.changes.toString());
        assertTrue(l.changes.stream().anyMatch(c -> c.kind() == Change.Kind.OBJECTED));
    }

    /** A hears B, B does not hear A, round a ring: everybody is reached by others. */
    @Test
    void oneWayLinksInARingBlameNobodyForGood() {
        SimulatedFleet t = settled(9, 10);
        for (int i = 1; i <= 10; i++) {
            t.cut.add("p" + i + ">p" + (i % 10 + 1));
        }
        t.run(120);
        assertEquals(0, t.wrong(Change.Kind.GONE));
        assertTrue(t.get(1).view().members().stream().anyMatch(View.Member::onlyByOthers));
    }

    /** It is heard by all and hears nobody: to be heard is no proof of health. */
    @Test
    void whoHearsNobodyIsGoneThoughItSpeaks() {
        SimulatedFleet t = settled(10, 10);
        Life deaf = t.get(3);
        t.living().forEach(l -> t.cut.add(l.name + ">p3"));
        assertTrue(t.until(
                        60,
                        () -> t.living().stream().filter(l -> l != deaf).allMatch(l -> l.of(deaf) == View.Status.GONE))
                >= 0);
        assertTrue(t.until(30, deaf.peers::cutOff) >= 0);
        t.cut.clear();
        assertTrue(t.until(60, t::agreed) >= 0);
    }

    @Test
    void lossAndJitterAccuseButDoNotConvict() {
        SimulatedFleet t = settled(11, 20);
        t.loss = 0.3;
        t.jitterNs = 200 * SimulatedFleet.MS;
        t.twice = 0.1;
        t.run(300);
        assertEquals(0, t.wrong(Change.Kind.GONE));
        t.loss = 0;
        assertTrue(t.until(60, t::agreed) >= 0);
    }

    @Test
    void sevenInTenDieAndAreBackTwoSecondsLaterSomeElsewhere() {
        SimulatedFleet t = settled(12, 20);
        for (int i = 1; i <= 14; i++) {
            t.get(i).kill();
        }
        t.run(2);
        for (int i = 1; i <= 14; i++) {
            t.start("p" + i, i % 3 == 0 ? "b" + i + ":1" : "a" + i + ":1", "a1:1", "a2:1", "a4:1");
        }
        double took = t.until(60, t::agreed);
        assertTrue(took >= 0, "never");
        assertEquals(0, t.wrong(Change.Kind.GONE));
    }

    @Test
    void withAllSeedsDeadThoseThatAreThereGoOn() {
        SimulatedFleet t = settled(13, 10);
        for (int i = 1; i <= 3; i++) {
            t.get(i).kill();
        }
        assertTrue(t.until(60, t::agreed) >= 0);
        t.start("p1", "a1:1", "a2:1", "a3:1"); // knows nobody who lives: it is found
        assertTrue(t.until(120, t::agreed) >= 0);
    }

    /** Half of whom it asks say nothing, nor do helpers that are dead as well: its own hearing is good. */
    @Test
    void aSurvivorThatStoodStillIsRidOfTheDeadSoon() {
        SimulatedFleet t = settled(19, 10);
        Life survivor = t.get(10);
        survivor.pause(true);
        t.run(10);
        List<Life> dead = t.living().stream().filter(l -> l != survivor).toList();
        dead.forEach(Life::kill);
        for (int i = 1; i <= 9; i++) {
            t.start("q" + i, "b" + i + ":1", survivor.address); // knows nothing of the dead
        }
        survivor.pause(false);
        double took = t.until(600, () -> survivor.peers.size() == 10 && t.agreed());
        assertTrue(took >= 0 && took < 180, "after " + took + " s");
    }

    @Test
    void seedsThatAreNamedLaterAreLookedForAtOnce() {
        SimulatedFleet t = settled(18, 4);
        Life far = t.start("p5", "b5:1"); // neither knows of the other
        assertTrue(t.until(40, t::agreed) < 0);
        t.get(2).input(() -> t.get(2).peers.seeds(t.now, List.of("b5:1")));
        assertTrue(t.until(10, t::agreed) >= 0);
        assertEquals(5, far.peers.size());
    }

    @Test
    void theAddressOfADeadOneIsTakenOverByAnother() {
        SimulatedFleet t = settled(14, 10);
        Life dead = t.get(6);
        dead.kill();
        Life heir = t.start("p11", dead.address, "a1:1");
        assertTrue(t.until(30, t::agreed) >= 0);
        t.living().stream().filter(l -> l != heir).forEach(l -> assertEquals(View.Status.GONE, l.of(dead)));
    }

    @Test
    void oneThatFlapsEverySecondHarmsNobodyElse() {
        SimulatedFleet t = settled(15, 10);
        for (int i = 0; i < 40; i++) {
            t.get(9).kill();
            t.run(0.5);
            t.start("p9", "a9:1", "a1:1", "a2:1");
            t.run(0.5);
        }
        long wrong = t.living().stream()
                .filter(l -> !l.name.equals("p9"))
                .flatMap(l -> l.changes.stream())
                .filter(c -> c.kind() == Change.Kind.GONE && !c.about().name().equals("p9"))
                .count();
        assertEquals(0, wrong);
        assertTrue(t.until(60, t::agreed) >= 0);
    }

    /** A member that has gone mad speaks of ten thousand that do not exist. */
    @Test
    void thoseWhomOnlyOneSpeaksOfAreNotBelieved() {
        SimulatedFleet t = settled(16, 5);
        Life l = t.get(1);
        Life mad = t.get(2);
        Message.Header h = new Message.Header(new Identity("p2", mad.life), 0, mad.address, 1);
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
                                id, 1, "nowhere:" + g, "", "", "", Phase.SERVING, 0, 0, 0, Figures.NONE, Facts.NONE),
                        0));
            }
            t.inject(l, new Message.News(new Message.Header(h.from(), 0, h.address(), 100_000 + i), ghosts));
            t.run(0.01);
        }
        assertTrue(t.agreed());
        t.run(60);
        assertTrue(t.agreed());
        t.living().forEach(o -> assertEquals(4, o.view().members().size(), o.name));
    }

    /** What a life said counts once; what a dead one said is no sign of life. */
    @Test
    void repeatedDatagramsAndThoseOfTheDeadCountForNothing() {
        SimulatedFleet t = settled(17, 5);
        Life l = t.get(1);
        Life dead = t.get(4);
        Message.Header old = l.last.get(dead.life).header();
        long before = l.peers.counters().repeated();
        t.inject(l, new Message.News(old, List.of()));
        assertEquals(before + 1, l.peers.counters().repeated());
        dead.kill();
        assertTrue(t.until(60, t::agreed) >= 0);
        Identity ghost = new Identity("p9", 9);
        for (int i = 1; i < 200; i++) {
            t.inject(l, new Message.Ping(new Message.Header(ghost, 0, "a9:1", i), i, 0, true, List.of()));
            t.run(0.1);
        }
        assertTrue(t.agreed());
        assertNotNull(l.view().named("p4"));
    }

    @Test
    void factsOfOneReachAllUnread() {
        SimulatedFleet t = settled(18, 10);
        Life l = t.get(3);
        Facts f = Facts.NONE.with("share", 1, 77L).with("later", 9, new byte[] {1, 2, 3});
        l.input(() -> l.peers.say(t.now, Phase.DRAINING, "c2", new Figures(5, 1, 2), f));
        assertTrue(t.until(10, () -> t.living().stream().filter(o -> o != l).allMatch(o -> {
                    Statement s = o.view().named("p3").statement();
                    return s.phase() == Phase.DRAINING
                            && s.facts().equals(f)
                            && s.config().equals("c2");
                }))
                >= 0);
        Statement seen = t.get(5).view().named("p3").statement();
        assertEquals(77, seen.facts().number("share", 1).getAsLong());
        assertTrue(seen.facts().number("later", 8).isEmpty());
    }

    @Test
    void theSameInputsBringTheSameOutputs() {
        List<String> first = day(19);
        assertEquals(first, day(19));
        assertFalse(first.equals(day(20)));
    }

    private static List<String> day(long seed) {
        SimulatedFleet t = new SimulatedFleet(seed).start(8);
        t.loss = 0.1;
        t.run(20);
        t.get(2).kill();
        t.run(20);
        List<String> all = new ArrayList<>();
        t.lives.values().forEach(l -> l.changes.forEach(c -> all.add(l.name + c)));
        all.add("sent " + t.sent);
        return all;
    }
}
