package gullspar.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Prints the fleet as one of its members sees it, as read from {@code /_fleet} at that member's operators' address. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = {
            "Prints the fleet's members as one member sees them, read from its operators' address (docs/fleet.md).",
            "One line each: name, status and its duration, phase, version, age of its last statement, disagreement."
        },
        subcommands = FleetCommand.NewKey.class,
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:the member responded and is not cut off",
            "1:no response",
            "2:wrong usage",
            "3:the member responded and reports that it is cut off"
        })
final class FleetCommand implements Callable<Integer> {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
    private static final int REPEAT_INTERVAL_MS = 1000;
    private static final int EXIT_NO_RESPONSE = 1;
    private static final int EXIT_CUT_OFF = 3;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--at",
            paramLabel = "HOST:PORT",
            defaultValue = "127.0.0.1:9901",
            description = "The operators' address of a member (${DEFAULT-VALUE}).")
    private String memberAddress;

    @Option(names = "--json", description = "Prints the JSON response unchanged.")
    private boolean printJson;

    @Option(names = "--watch", description = "Repeats every second, until Ctrl-C.")
    private boolean repeat;

    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(REQUEST_TIMEOUT).build();

    @Override
    public Integer call() throws InterruptedException {
        URI uri;
        try {
            uri = URI.create("http://" + memberAddress + "/_fleet");
            if (uri.getHost() == null || uri.getPort() < 0) {
                throw new IllegalArgumentException("no host and port");
            }
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), "--at is '" + memberAddress + "', expected HOST:PORT");
        }
        int exitCode = fetchAndPrint(uri);
        while (repeat && exitCode != EXIT_NO_RESPONSE) {
            Thread.sleep(REPEAT_INTERVAL_MS);
            System.out.println();
            exitCode = fetchAndPrint(uri);
        }
        return exitCode;
    }

    /** Fetches and prints the view once; returns the exit code. */
    private int fetchAndPrint(URI uri) throws InterruptedException {
        try {
            HttpResponse<String> response = client.send(
                    HttpRequest.newBuilder(uri).timeout(REQUEST_TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() != 200) {
                System.err.println(memberAddress + " responded with status " + response.statusCode()
                        + (response.statusCode() == 404 ? ": it is not a member of a fleet" : ""));
                return EXIT_NO_RESPONSE;
            }
            JsonNode view = new ObjectMapper().readTree(response.body());
            if (printJson) {
                System.out.println(response.body());
            } else {
                formatLines(view).forEach(System.out::println);
            }
            return view.path("cut_off").asBoolean() ? EXIT_CUT_OFF : 0;
        } catch (IOException e) {
            System.err.println(memberAddress + " does not respond: " + (e.getMessage() == null ? e : e.getMessage()));
            return EXIT_NO_RESPONSE;
        }
    }

    /** Formats the JSON of {@code /_fleet} as a summary line, a line of column names and one line per member. */
    static List<String> formatLines(JsonNode view) {
        List<String> lines = new ArrayList<>();
        lines.add(String.format(
                Locale.ROOT,
                "%s sees %d of %d%s%s%s",
                view.path("name").asText(),
                view.path("seen").asInt(),
                view.path("known").asInt(),
                view.path("cut_off").asBoolean() ? ", CUT OFF from most members: 'unknown' does not mean gone" : "",
                view.path("settled").asBoolean() ? ", settled" : ", not settled",
                view.path("health").asInt() > 0
                        ? ", local health degraded (" + view.path("health").asInt() + ")"
                        : ""));
        lines.add(String.format(
                Locale.ROOT,
                "  %-16s %-9s %8s %-9s %-12s %-8s %8s %7s  %s",
                "name",
                "status",
                "for",
                "phase",
                "version",
                "zone",
                "told",
                "req/s",
                ""));
        for (JsonNode member : view.path("members")) {
            List<String> notes = new ArrayList<>();
            if (member.path("self").asBoolean()) {
                notes.add("this one");
            }
            if (member.path("twin").asBoolean()) {
                notes.add("TWIN: two processes run under this name, life "
                        + member.path("life").asText());
            }
            if (member.has("why")) {
                // A reason in words, or the one-word name of the member that raised the suspicion.
                String why = member.path("why").asText();
                notes.add(why.contains(" ") ? why : "accused by " + why);
            }
            if (member.path("only_by_others").asBoolean()) {
                notes.add("responds only to other members");
            }
            if (!member.path("agrees").asBoolean(true)
                    && !member.path("status").asText().equals("gone")) {
                notes.add("has a different view");
            }
            lines.add(String.format(
                            Locale.ROOT,
                            "  %-16s %-9s %8s %-9s %-12s %-8s %8s %7.1f  %s",
                            member.path("name").asText(),
                            member.path("status").asText(),
                            formatDuration(member.path("since_s").asDouble()),
                            member.path("phase").asText(),
                            member.path("version").asText(),
                            member.path("zone").asText(),
                            formatDuration(member.path("told_s").asDouble()),
                            member.path("requests_per_s").asDouble(),
                            String.join("; ", notes))
                    .stripTrailing());
        }
        return lines;
    }

    /** Formats a duration in seconds below 2 minutes, in minutes below 2 hours, else in hours. */
    private static String formatDuration(double seconds) {
        return seconds < 120
                ? String.format(Locale.ROOT, "%.0fs", seconds)
                : seconds < 7200
                        ? String.format(Locale.ROOT, "%.0fm", seconds / 60)
                        : String.format(Locale.ROOT, "%.0fh", seconds / 3600);
    }

    /** Generates a key for the key file that all members of a fleet share. */
    @Command(
            name = "new-key",
            mixinStandardHelpOptions = true,
            description = "Prints a new key for a key file: 32 random bytes, in hexadecimal.")
    static final class NewKey implements Callable<Integer> {
        private static final int KEY_BYTES = 32;

        @Override
        public Integer call() {
            byte[] key = new byte[KEY_BYTES];
            new SecureRandom().nextBytes(key);
            System.out.println(HexFormat.of().formatHex(key));
            return 0;
        }
    }
}
