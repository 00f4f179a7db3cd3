package gullspar.config;

import gullspar.toml.Fields;
import gullspar.toml.Problem;
import gullspar.toml.ProblemsException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;

/**
 * What a control process is, as its file says (docs/versions.md).
 *
 * @param name its own, one of the control processes
 * @param primary the name of the one that takes changes
 * @param epoch raised whenever another becomes the primary
 * @param controls all control processes, by name, where each listens
 * @param folder where it keeps what it has
 * @param bytesPerSecond to a proxy at the most
 * @param firstBytesPerSecond to a proxy that has nothing yet
 * @param snapshots how many followers get the whole document at once
 * @param forgetNs a follower that has been away for longer is forgotten
 */
public record ControlFile(
        String name,
        String primary,
        long epoch,
        Map<String, InetSocketAddress> controls,
        Path folder,
        int bytesPerSecond,
        int firstBytesPerSecond,
        int snapshots,
        long forgetNs) {
    private static final String NAME = "[A-Za-z0-9._+-]{1,64}";
    private static final int LEAST_BYTES = 2000;

    /** Reads a file; an IOException if that is not possible at all. */
    public static ControlFile read(Path file) throws IOException, ProblemsException {
        return parse(Files.readString(file), file.toString());
    }

    /** Reads a text; the name stands before each problem. */
    public static ControlFile parse(String text, String file) throws ProblemsException {
        List<Problem> problems = new ArrayList<>();
        TomlParseResult toml = Toml.parse(text);
        toml.errors()
                .forEach(e -> problems.add(new Problem(
                        e.position().line(),
                        e.position().column(),
                        e.getMessage().lines().findFirst().orElse("not TOML"))));
        ControlFile c =
                problems.isEmpty() ? control(new Fields(toml, "", TomlPosition.positionAt(1, 1), problems)) : null;
        if (!problems.isEmpty()) {
            throw new ProblemsException(file, problems);
        }
        return c;
    }

    /** A name that a follower or a control process may have; null, and a problem, if it is none. */
    static String name(Fields f, String key) {
        String name = f.text(key);
        if (!name.isEmpty() && !name.matches(NAME)) {
            f.wrong(key, "must be 1 to 64 of letters, digits and . _ + -");
        }
        return name;
    }

    private static ControlFile control(Fields f) {
        Map<String, InetSocketAddress> controls = new LinkedHashMap<>();
        for (Fields c : f.tables("control")) {
            String name = name(c, "name");
            InetSocketAddress at = Values.address(c, "address");
            if (at != null && at.getAddress().isAnyLocalAddress()) {
                c.wrong("address", "is every address of a machine: followers need one");
            }
            if (at != null && controls.putIfAbsent(name, at) != null) {
                c.wrong("name", "is that of another control process");
            }
            c.noOthers();
        }
        String name = name(f, "name");
        String primary = name(f, "primary");
        if (!f.has("control")) {
            f.wrong("there is no [[control]]");
        } else {
            for (String key : List.of("name", "primary")) {
                String who = f.text(key, "");
                if (!who.isEmpty() && !controls.containsKey(who)) {
                    f.wrong(key, "is '" + who + "', which no [[control]] has");
                }
            }
        }
        ControlFile c = new ControlFile(
                name,
                primary,
                f.whole("epoch", 1, 1, Integer.MAX_VALUE),
                Map.copyOf(controls),
                Path.of(f.text("folder")),
                f.whole("bytes_per_second", 10_000, LEAST_BYTES, 1 << 28),
                f.whole("first_bytes_per_second", 200_000, LEAST_BYTES, 1 << 28),
                f.whole("snapshots", 8, 1, 10_000),
                Values.seconds(f, "forget_s", 3600, 1));
        f.noOthers();
        return c;
    }
}
