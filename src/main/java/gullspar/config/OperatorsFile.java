package gullspar.config;

import gullspar.toml.Problem;
import gullspar.toml.ProblemsException;
import gullspar.toml.TableReader;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;

/**
 * What operators have written for one process, whatever it serves: [operator], where they call, and
 * [fleet], how it takes part in the fleet. The platform's proxy reads a file that holds only these; that of
 * routes and pools may hold them too.
 *
 * @param operator where operators call; null for nowhere
 * @param fleet null for none
 */
public record OperatorsFile(InetSocketAddress operatorAddress, FleetSettings fleet) {
    /** As a name in a fleet may be: see docs/fleet.md. */
    private static final Set<String> PROCESS_TABLES = Set.of("operator", "fleet");

    private static final String NAME_PATTERN = "[A-Za-z0-9._+-]{1,32}";

    /** Reads a file that holds nothing else; an IOException if that is not possible at all. */
    public static OperatorsFile read(Path file) throws IOException, ProblemsException {
        return parse(Files.readString(file), file.toString());
    }

    /** Does a text hold only what any process of theirs may have, and none of the routes of plain HTTP? */
    public static boolean hasOnlyProcessTables(String text) {
        TomlParseResult toml = Toml.parse(text);
        return !toml.hasErrors() && !toml.isEmpty() && toml.keySet().stream().allMatch(PROCESS_TABLES::contains);
    }

    /** Reads a text; the name stands before each problem. */
    public static OperatorsFile parse(String text, String name) throws ProblemsException {
        TomlParseResult toml = Toml.parse(text);
        List<Problem> problems = new ArrayList<>();
        toml.errors()
                .forEach(e -> problems.add(new Problem(
                        e.position().line(),
                        e.position().column(),
                        e.getMessage().lines().findFirst().orElse("not TOML"))));
        OperatorsFile file = null;
        if (problems.isEmpty()) {
            TableReader f = new TableReader(toml, "", TomlPosition.positionAt(1, 1), problems);
            file = read(f);
            f.rejectUnknownKeys();
        }
        if (!problems.isEmpty()) {
            throw new ProblemsException(name, problems);
        }
        return file;
    }

    /** Reads the two tables among others. */
    static OperatorsFile read(TableReader f) {
        InetSocketAddress operator = null;
        if (f.has("operator")) {
            TableReader o = f.table("operator");
            operator = FieldParsers.address(o, "address");
            o.rejectUnknownKeys();
        }
        return new OperatorsFile(operator, f.has("fleet") ? fleet(f.table("fleet")) : null);
    }

    private static FleetSettings fleet(TableReader f) {
        String name = f.string("name", null);
        if (name != null && !name.matches(NAME_PATTERN)) {
            f.addProblem("name", "must be 1 to 32 of letters, digits and . _ + -");
        }
        InetSocketAddress bind = FieldParsers.address(f, "bind");
        InetSocketAddress advertise = f.has("advertise") ? FieldParsers.address(f, "advertise") : null;
        if (bind != null && bind.getAddress().isAnyLocalAddress() && !f.has("advertise")) {
            f.addProblem("bind", "is every address of this machine: the others need one, by advertise");
        }
        if (advertise != null
                && (advertise.getPort() == 0 || advertise.getAddress().isAnyLocalAddress())) {
            f.addProblem("advertise", "is no address that others could reach");
        }
        List<InetSocketAddress> seeds = new ArrayList<>();
        for (String s : f.stringList("seeds", List.of())) {
            InetSocketAddress address = address(s);
            if (address == null) {
                f.addProblem("seeds", "holds '" + s + "', not an IP address and a port");
            } else {
                seeds.add(address);
            }
        }
        String zone = f.string("zone", "");
        if (!zone.isEmpty() && !zone.matches(NAME_PATTERN)) {
            f.addProblem("zone", "must be up to 32 of letters, digits and . _ + -");
        }
        FleetSettings fleet = new FleetSettings(
                name,
                bind,
                advertise,
                List.copyOf(seeds),
                Path.of(f.string("key_file")),
                zone,
                FieldParsers.millisAsNs(f, "interval_ms", 1000, 50),
                FieldParsers.secondsAsNs(f, "window_s", 60, 1),
                f.integer("bytes_per_second", 0, 0, 1 << 24));
        f.rejectUnknownKeys();
        return fleet;
    }

    /** An IP address and a port other than 0; null if it is none. */
    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        InetAddress ip = colon < 0 ? null : NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
        String port = text.substring(colon + 1);
        return ip != null && port.matches("\\d{1,5}") && Integer.parseInt(port) <= 65_535 && Integer.parseInt(port) > 0
                ? new InetSocketAddress(ip, Integer.parseInt(port))
                : null;
    }
}
