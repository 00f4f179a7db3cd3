package gullspar.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.route.Request;
import gullspar.toml.BlockParser;
import gullspar.toml.ProblemsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** Parsing a file in blocks yields the same configuration or problems as parsing it as a whole. */
@Execution(ExecutionMode.CONCURRENT)
class BlockParserTest {
    private static final List<String> MUTATION_LINES = List.of(
            "[[host]]",
            " [[host]]",
            "[[host]] # one more",
            "[host]",
            "[[host.route]]",
            "[limits]",
            "[limits.x]",
            "[[listener]]",
            "[[pool]]",
            "[[pool.server]]",
            "odd = 1",
            "x = \"\"\"",
            "y = '''",
            "\"\"\"",
            "# [[host]]",
            "host = 3",
            "pool = []",
            "a.b = 1",
            "[a]",
            "= 3",
            "forwarded = \"append\"",
            "[\"host\"]",
            "x = [",
            "]",
            "names = [\"a\", \"a\", 3]",
            "path = 7",
            "\r");

    private static String describe(Site s) {
        StringBuilder all =
                new StringBuilder().append(s.limits()).append(s.forwarded()).append(s.operators());
        s.pools().keySet().stream().sorted().forEach(p -> all.append(s.pools().get(p).servers().stream()
                        .map(d -> d.name() + d.weight())
                        .toList())
                .append(s.pools().get(p).endpoints()));
        for (Site.Listener l : s.listeners()) {
            all.append(l.address());
            for (String host : List.of("shop.example.org", "a.shop.example.org", "elsewhere")) {
                for (String path : List.of("/", "/api/orders", "/api/stock", "/static/x.png", "/x.css")) {
                    Request r = new Request("POST", host, path, null, name -> List.of("1"));
                    all.append(l.router().explain(r)).append(l.router().find(r).status());
                }
            }
        }
        return all.toString();
    }

    private interface Reader {
        Site read() throws ProblemsException;
    }

    private static String outcome(Reader r) {
        try {
            return describe(r.read());
        } catch (ProblemsException e) {
            return e.getMessage();
        }
    }

    @Test
    void blockwiseAndWholeParsingAgreeOnMutatedFiles() throws Exception {
        String example = Files.readString(Path.of("deploy/routes.example.toml"));
        SplittableRandom r = new SplittableRandom(11);
        BlockParser blocks = new BlockParser();
        int valid = 0;
        for (int i = 0; i < 400; i++) {
            List<String> lines = new ArrayList<>(Arrays.asList(example.split("\n", -1)));
            for (int k = r.nextInt(4); k > 0; k--) {
                int at = r.nextInt(lines.size());
                switch (r.nextInt(5)) {
                    case 0 -> lines.remove(at);
                    case 1 -> lines.add(at, lines.get(r.nextInt(lines.size())));
                    case 2 -> lines.set(at, lines.get(at).replaceFirst("[0-9]", "x"));
                    case 3 -> lines.set(at, lines.get(at).replaceFirst("[0-9]", "7"));
                    default -> lines.add(at, MUTATION_LINES.get(r.nextInt(MUTATION_LINES.size())));
                }
            }
            String text = String.join("\n", lines);
            String whole = outcome(() -> SiteReader.parse(text, "f"));
            assertEquals(whole, outcome(() -> SiteReader.parse(text, "f", blocks)), text);
            valid += whole.startsWith("f:") ? 0 : 1;
        }
        assertTrue(valid > 80 && valid < 320, valid + " of 400 were valid");
    }
}
