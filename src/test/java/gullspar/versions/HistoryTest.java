package gullspar.versions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which update the history chooses for a follower. */
class HistoryTest {
    private final List<Document> all = Chain.of(200, 4000);

    @Test
    void reconnectingFollowerGetsOnlyTheDeltas() throws MismatchException {
        History h = Chain.history(all, 1000);
        Document old = all.get(41);
        History.UpdatePlan a = h.planFor(old.version());
        assertEquals(History.UpdateKind.CHANGES, a.kind());
        assertEquals(158, a.deltas().size());
        assertEquals(h.head(), Delta.apply(old, a.deltas()));
    }

    @Test
    void followerOlderThanTheRetainedDeltasGetsASnapshot() {
        History h = Chain.history(all, 100);
        assertEquals(
                History.UpdateKind.CHANGES, h.planFor(all.get(99).version()).kind());
        assertEquals(
                History.UpdateKind.SNAPSHOT, h.planFor(all.get(98).version()).kind());
        assertEquals(History.UpdateKind.SNAPSHOT, h.planFor(null).kind());
        assertEquals(
                History.UpdateKind.NOTHING, h.planFor(all.get(199).version()).kind());
    }

    @Test
    void deltasLargerThanTheSnapshotAreSentAsASnapshot() {
        History h = Chain.history(Chain.of(200, 3), 1000);
        assertEquals(
                History.UpdateKind.SNAPSHOT,
                h.planFor(Chain.of(1, 3).get(0).version()).kind());
    }

    @Test
    void higherOrForkedVersionGetsNoUpdate() {
        History h = Chain.history(all.subList(0, 100), 1000);
        assertEquals(History.UpdateKind.AHEAD, h.planFor(all.get(100).version()).kind());
        Document fork = Chain.after(all.get(48), "other");
        assertEquals(History.UpdateKind.FORKED, h.planFor(fork.version()).kind());
        assertEquals(
                History.UpdateKind.FORKED,
                h.planFor(Chain.after(all.get(98), "other").version()).kind());
        assertEquals(
                History.UpdateKind.AHEAD,
                new History(5, 5).planFor(fork.version()).kind());
    }

    @Test
    void higherEpochOverridesTheFormerPrimary() {
        History h = Chain.history(all.subList(0, 50), 1000);
        Document lost = Chain.after(all.get(49), "only the former primary had it");
        Document next = Chain.after(all.get(49), 2, "of the new primary");
        h.append(next, List.of(Chain.delta(h.head(), next)));
        assertEquals(History.UpdateKind.SNAPSHOT, h.planFor(lost.version()).kind());
        assertEquals(
                History.UpdateKind.CHANGES, h.planFor(all.get(49).version()).kind());
    }

    @Test
    void olderDocumentIsRejectedAndRestoreKeepsTheChain() {
        History h = Chain.history(all, 50);
        assertThrows(IllegalArgumentException.class, () -> h.append(all.get(198), List.of()));
        History again = new History(50, 1 << 20);
        again.restore(h.head(), h.oldest(), h.deltas());
        assertEquals(
                h.planFor(all.get(160).version()), again.planFor(all.get(160).version()));
        History broken = new History(50, 1 << 20);
        broken.restore(h.head(), all.get(3).version(), h.deltas());
        assertEquals(
                History.UpdateKind.SNAPSHOT,
                broken.planFor(all.get(160).version()).kind());
    }
}
