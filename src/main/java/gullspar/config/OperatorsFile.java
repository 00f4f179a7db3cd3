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
 * The settings that any process may have: [operator], the address for operators' requests, and [fleet], its
 * membership in the fleet. The platform's proxy reads a file with only these tables; a file of routes and pools
 * may have them too.
 *
 * @param operatorAddress the address for operators' requests; null for none
 * @param fleet null if the process is not a member of a fleet
 */
public record OperatorsFile(InetSocketAddress operatorAddress, FleetSettings fleet) {
    private static final Set<String> PROCESS_TABLES = Set.of("operator", "fleet");

    /** Valid names of members and zones, see docs/fleet.md. */
    private static final String NAME_PATTERN = "[A-Za-z0-9._+-]{1,32}";

    /** Reads a file with no other tables; throws IOException if it cannot be read. */
    public static OperatorsFile read(Path file) throws IOException, ProblemsException {
        return parse(Files.readString(file), file.toString());
    }

    /** Returns whether a text is valid TOML with only these tables, and so has no routes or pools. */
    public static boolean hasOnlyProcessTables(String text) {
        TomlParseResult toml = Toml.parse(text);
        return !toml.hasErrors() && !toml.isEmpty() && toml.keySet().stream().allMatch(PROCESS_TABLES::contains);
    }

    /** Parses a text; each problem is prefixed with the name of the file. */
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

    /** Reads the two tables from a file that may have others. */
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
            f.addProblem("name", "must be 1 to 32 characters: letters, digits and . _ + -");
        }
        InetSocketAddress bind = FieldParsers.address(f, "bind");
        InetSocketAddress advertise = f.has("advertise") ? FieldParsers.address(f, "advertise") : null;
        if (bind != null && bind.getAddress().isAnyLocalAddress() && !f.has("advertise")) {
            f.addProblem(
                    "bind", "is the wildcard address: advertise must give an address that other members can reach");
        }
        if (advertise != null
                && (advertise.getPort() == 0 || advertise.getAddress().isAnyLocalAddress())) {
            f.addProblem("advertise", "is not an address that other members can reach");
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
            f.addProblem("zone", "must be up to 32 characters: letters, digits and . _ + -");
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

    /** Parses an IP address and a port other than 0; null if it is invalid. */
    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        InetAddress ip = colon < 0 ? null : NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
        String port = text.substring(colon + 1);
        return ip != null && port.matches("\\d{1,5}") && Integer.parseInt(port) <= 65_535 && Integer.parseInt(port) > 0
                ? new InetSocketAddress(ip, Integer.parseInt(port))
                : null;
    }
}
