package gullspar.versions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Line-by-line deltas between texts. */
class DeltaTest {
    private static String randomText(SplittableRandom r) {
        StringBuilder s = new StringBuilder();
        int lines = r.nextInt(30);
        for (int i = 0; i < lines; i++) {
            s.append((char) ('a' + r.nextInt(4)))
                    .append(r.nextInt(5) == 0 ? "\r" : "")
                    .append(i == lines - 1 && r.nextBoolean() ? "" : "\n");
        }
        return s.toString();
    }

    @Test
    void appliedDeltaReproducesTheTextExactly() throws MismatchException {
        SplittableRandom r = new SplittableRandom(7);
        for (int i = 0; i < 3000; i++) {
            Document a = Chain.first(randomText(r));
            Document b = Chain.after(a, randomText(r));
            Document c = Chain.after(b, randomText(r));
            Document to = Delta.apply(a, List.of(Chain.delta(a, b), Chain.delta(b, c)));
            assertEquals(c, to);
        }
    }

    @Test
    void distantChangesAreTwoHunks() {
        Document a = Chain.first(Chain.text(50_000, 1));
        Document b = Chain.after(
                a, a.text().replaceFirst("line 5 .*\n", "line five\n").replaceFirst("line 1900 .*\n", ""));
        assertEquals(2, Chain.delta(a, b).hunks().size());
    }

    @Test
    void rewrittenTextIsOneHunkAndFast() throws MismatchException {
        Document a = Chain.first(Chain.text(50_000, 1));
        Document b = Chain.after(a, Chain.text(50_000, 1).replace("line", "other"));
        Delta d = Chain.delta(a, b);
        assertEquals(1, d.hunks().size());
        assertEquals(b, Delta.apply(a, List.of(d)));
    }

    @Test
    void deltaOfAnotherTextIsRejected() {
        Document a = Chain.first("a\nb\n");
        Document b = Chain.after(a, "a\nc\n");
        Document other = Chain.first("a\nx\n");
        assertThrows(MismatchException.class, () -> Delta.apply(other, List.of(Chain.delta(a, b))));
        Delta beyond = new Delta(b.version(), List.of(new Delta.Hunk(3, 5, List.of())));
        assertTrue(assertThrows(MismatchException.class, () -> Delta.apply(a, List.of(beyond)))
                .getMessage()
                .contains("not there"));
        Delta wrong = new Delta(b.version(), List.of(new Delta.Hunk(0, 1, List.of("z"))));
        assertTrue(assertThrows(MismatchException.class, () -> Delta.apply(a, List.of(wrong)))
                .getMessage()
                .contains("checksum"));
    }
}
