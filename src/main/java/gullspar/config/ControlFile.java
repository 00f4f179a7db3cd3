package gullspar.config;

import gullspar.toml.Problem;
import gullspar.toml.ProblemsException;
import gullspar.toml.TableReader;
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
 * The settings of a control process, from its file (docs/versions.md).
 *
 * @param name its own name, one of those in controls
 * @param primary the name of the control process that accepts changes
 * @param epoch raised whenever another process becomes the primary
 * @param controls the listen addresses of all control processes, by name
 * @param directory where it stores its data
 * @param maxBytesPerSecond the sending limit for a follower
 * @param maxInitialBytesPerSecond the sending limit for a follower that has no version yet
 * @param maxSnapshots how many followers may receive the whole document at the same time
 * @param forgetAfterNs a follower that has been away for longer is removed
 */
public record ControlFile(
        String name,
        String primary,
        long epoch,
        Map<String, InetSocketAddress> controls,
        Path directory,
        int maxBytesPerSecond,
        int maxInitialBytesPerSecond,
        int maxSnapshots,
        long forgetAfterNs) {
    private static final String NAME_PATTERN = "[A-Za-z0-9._+-]{1,64}";
    private static final int MIN_BYTES_PER_SECOND = 2000;

    /** Throws IOException if the file cannot be read. */
    public static ControlFile read(Path file) throws IOException, ProblemsException {
        return parse(Files.readString(file), file.toString());
    }

    /** Parses a text; each problem is prefixed with the name of the file. */
    public static ControlFile parse(String text, String file) throws ProblemsException {
        List<Problem> problems = new ArrayList<>();
        TomlParseResult toml = Toml.parse(text);
        toml.errors()
                .forEach(e -> problems.add(new Problem(
                        e.position().line(),
                        e.position().column(),
                        e.getMessage().lines().findFirst().orElse("not TOML"))));
        ControlFile c = problems.isEmpty()
                ? readControl(new TableReader(toml, "", TomlPosition.positionAt(1, 1), problems))
                : null;
        if (!problems.isEmpty()) {
            throw new ProblemsException(file, problems);
        }
        return c;
    }

    /** Reads the name of a follower or control process; records a problem if it is invalid. */
    static String name(TableReader f, String key) {
        String name = f.string(key);
        if (!name.isEmpty() && !name.matches(NAME_PATTERN)) {
            f.addProblem(key, "must be 1 to 64 characters: letters, digits and . _ + -");
        }
        return name;
    }

    private static ControlFile readControl(TableReader f) {
        Map<String, InetSocketAddress> controls = new LinkedHashMap<>();
        for (TableReader c : f.tables("control")) {
            String name = name(c, "name");
            InetSocketAddress address = FieldParsers.address(c, "address");
            if (address != null && address.getAddress().isAnyLocalAddress()) {
                c.addProblem("address", "is the wildcard address: followers need a specific one");
            }
            if (address != null && controls.putIfAbsent(name, address) != null) {
                c.addProblem("name", "is already used by another control process");
            }
            c.rejectUnknownKeys();
        }
        String name = name(f, "name");
        String primary = name(f, "primary");
        if (!f.has("control")) {
            f.addProblem("there is no [[control]]");
        } else {
            for (String key : List.of("name", "primary")) {
                String value = f.string(key, "");
                if (!value.isEmpty() && !controls.containsKey(value)) {
                    f.addProblem(key, "is '" + value + "', but no [[control]] has that name");
                }
            }
        }
        ControlFile c = new ControlFile(
                name,
                primary,
                f.integer("epoch", 1, 1, Integer.MAX_VALUE),
                Map.copyOf(controls),
                Path.of(f.string("folder")),
                f.integer("bytes_per_second", 10_000, MIN_BYTES_PER_SECOND, 1 << 28),
                f.integer("first_bytes_per_second", 200_000, MIN_BYTES_PER_SECOND, 1 << 28),
                f.integer("snapshots", 8, 1, 10_000),
                FieldParsers.secondsAsNs(f, "forget_s", 3600, 1));
        f.rejectUnknownKeys();
        return c;
    }
}
