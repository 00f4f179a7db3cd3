package gullspar.config;

import gullspar.toml.Problem;
import gullspar.toml.ProblemsException;
import gullspar.toml.TableReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;

/**
 * The settings with which a proxy follows the versions of its control processes: [control], and the settings of
 * this process alone (docs/versions.md).
 *
 * @param name the unique name of the follower, the same after a restart
 * @param addresses the addresses of the control processes
 * @param directory where it stores the version that it runs
 * @param startupWaitNs how long it waits for a control process at startup before it uses the stored version
 * @param operators [operator] and [fleet]
 */
public record FollowFile(
        String name, List<InetSocketAddress> addresses, Path directory, long startupWaitNs, OperatorsFile operators) {
    /** As long as a process that starts can wait and still be ready within 10 s. */
    private static final double DEFAULT_STARTUP_WAIT_S = 8.5;

    /** Throws IOException if the file cannot be read. */
    public static FollowFile read(Path file) throws IOException, ProblemsException {
        return parse(Files.readString(file), file.toString());
    }

    /** Parses a text; each problem is prefixed with the name of the file. */
    public static FollowFile parse(String text, String file) throws ProblemsException {
        List<Problem> problems = new ArrayList<>();
        TomlParseResult toml = Toml.parse(text);
        toml.errors()
                .forEach(e -> problems.add(new Problem(
                        e.position().line(),
                        e.position().column(),
                        e.getMessage().lines().findFirst().orElse("not TOML"))));
        FollowFile c = problems.isEmpty()
                ? readFollow(new TableReader(toml, "", TomlPosition.positionAt(1, 1), problems))
                : null;
        if (!problems.isEmpty()) {
            throw new ProblemsException(file, problems);
        }
        return c;
    }

    private static FollowFile readFollow(TableReader f) {
        if (!f.has("control")) {
            f.addProblem("there is no [control]");
        }
        TableReader c = f.table("control");
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String a : c.stringList("addresses", List.of())) {
            InetSocketAddress address = OperatorsFile.address(a);
            if (address == null) {
                c.addProblem("addresses", "holds '" + a + "', not an IP address and a port");
            } else {
                addresses.add(address);
            }
        }
        if (f.has("control") && !c.has("addresses")) {
            c.addProblem("control: addresses is missing");
        }
        FollowFile file = new FollowFile(
                ControlFile.name(c, "name"),
                List.copyOf(addresses),
                Path.of(c.string("folder")),
                FieldParsers.secondsAsNs(c, "wait_s", DEFAULT_STARTUP_WAIT_S, 0),
                OperatorsFile.read(f));
        c.rejectUnknownKeys();
        f.rejectUnknownKeys();
        return file;
    }
}
