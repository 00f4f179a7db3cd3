package gullspar.versions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which changes the primary accepts as versions. */
class PublisherTest {
    private final List<Document> documents = Chain.of(10, 50);
    private final History history = Chain.history(documents, 100);

    @Test
    void secondOfTwoConcurrentChangesIsRefusedWithTheNewerVersion() {
        Publisher p = new Publisher(1, Set.of());
        Publisher.Decision a = p.decide(10, "a", "a\n", history);
        assertEquals(Publisher.Outcome.ACCEPTED, a.outcome());
        assertEquals(11, a.document().version().number());
        assertTrue(a.document().version().follows(history.version()));
        history.append(a.document(), List.of());
        Publisher.Decision b = p.decide(10, "b", "b\n", history);
        assertEquals(Publisher.Outcome.OLDER, b.outcome());
        assertTrue(
                b.lines().get(0).contains("written against version 10, but 1.11"),
                b.lines().get(0));
        assertEquals(Publisher.Outcome.SAME, p.decide(11, "a", "a\n", history).outcome());
    }

    @Test
    void changesAreRefusedUntilAllVersionsAreKnownAndCaughtUp() {
        Publisher p = new Publisher(1, Set.of("c2", "c3"));
        assertTrue(p.decide(10, "a", "a\n", history).lines().get(0).contains("c2, c3"));
        p.recordVersion("c2", null);
        assertEquals(
                Publisher.Outcome.NOT_READY, p.decide(10, "a", "a\n", history).outcome());
        Document next = Chain.after(history.head(), "from before the disk was restored");
        p.recordVersion("c3", next.version());
        assertTrue(p.decide(10, "a", "a\n", history).lines().get(0).contains("c3 has version 1.11"));
        history.append(next, List.of());
        assertNull(p.obstacle(history));
        assertEquals(12, p.decide(11, "a", "a\n", history).document().version().number());
    }

    @Test
    void forkElsewhereBlocksChangesUntilTheEpochIsRaised() {
        Document fork = Chain.after(documents.get(4), "written by another primary");
        Publisher p = new Publisher(1, Set.of("c2"));
        p.recordVersion("c2", fork.version());
        assertTrue(p.obstacle(history).contains("another version with the same number"));
        Publisher raised = new Publisher(2, Set.of("c2"));
        raised.recordVersion("c2", fork.version());
        Document next = raised.decide(10, "a", "a\n", history).document();
        assertEquals(2, next.version().epoch());
        assertTrue(next.version().comparePosition(fork.version()) > 0);
    }

    @Test
    void numbersAreNotReusedAndAFormerPrimaryAcceptsNoChanges() {
        Document far = new Document(new Version(1, 45, Checksum.of("x"), Checksum.NONE), "x");
        Publisher p = new Publisher(2, Set.of("c2"));
        p.recordVersion("c2", far.version());
        Document next = p.decide(10, "a", "a\n", history).document();
        assertEquals(46, next.version().number());
        history.append(next, List.of());
        Publisher former = new Publisher(1, Set.of());
        assertTrue(former.obstacle(history).contains("of epoch 1"));
    }
}
