package gullspar.versions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which update the history chooses for a follower. */
class HistoryTest {
    private final List<Document> documents = Chain.of(200, 4000);

    @Test
    void reconnectingFollowerGetsOnlyTheDeltas() throws MismatchException {
        History h = Chain.history(documents, 1000);
        Document old = documents.get(41);
        History.UpdatePlan a = h.planFor(old.version());
        assertEquals(History.UpdateKind.CHANGES, a.kind());
        assertEquals(158, a.deltas().size());
        assertEquals(h.head(), Delta.apply(old, a.deltas()));
    }

    @Test
    void followerOlderThanTheRetainedDeltasGetsASnapshot() {
        History h = Chain.history(documents, 100);
        assertEquals(
                History.UpdateKind.CHANGES,
                h.planFor(documents.get(99).version()).kind());
        assertEquals(
                History.UpdateKind.SNAPSHOT,
                h.planFor(documents.get(98).version()).kind());
        assertEquals(History.UpdateKind.SNAPSHOT, h.planFor(null).kind());
        assertEquals(
                History.UpdateKind.NOTHING,
                h.planFor(documents.get(199).version()).kind());
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
        History h = Chain.history(documents.subList(0, 100), 1000);
        assertEquals(
                History.UpdateKind.AHEAD,
                h.planFor(documents.get(100).version()).kind());
        Document fork = Chain.after(documents.get(48), "other");
        assertEquals(History.UpdateKind.FORKED, h.planFor(fork.version()).kind());
        assertEquals(
                History.UpdateKind.FORKED,
                h.planFor(Chain.after(documents.get(98), "other").version()).kind());
        assertEquals(
                History.UpdateKind.AHEAD,
                new History(5, 5).planFor(fork.version()).kind());
    }

    @Test
    void higherEpochOverridesTheFormerPrimary() {
        History h = Chain.history(documents.subList(0, 50), 1000);
        Document lost = Chain.after(documents.get(49), "only the former primary had it");
        Document next = Chain.after(documents.get(49), 2, "of the new primary");
        h.append(next, List.of(Chain.delta(h.head(), next)));
        assertEquals(History.UpdateKind.SNAPSHOT, h.planFor(lost.version()).kind());
        assertEquals(
                History.UpdateKind.CHANGES,
                h.planFor(documents.get(49).version()).kind());
    }

    @Test
    void olderDocumentIsRejectedAndRestoreKeepsTheChain() {
        History h = Chain.history(documents, 50);
        assertThrows(IllegalArgumentException.class, () -> h.append(documents.get(198), List.of()));
        History again = new History(50, 1 << 20);
        again.restore(h.head(), h.oldest(), h.deltas());
        assertEquals(
                h.planFor(documents.get(160).version()),
                again.planFor(documents.get(160).version()));
        History broken = new History(50, 1 << 20);
        broken.restore(h.head(), documents.get(3).version(), h.deltas());
        assertEquals(
                History.UpdateKind.SNAPSHOT,
                broken.planFor(documents.get(160).version()).kind());
    }
}
