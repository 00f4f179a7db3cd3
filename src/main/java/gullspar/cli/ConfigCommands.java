package gullspar.cli;

import gullspar.config.OperatorsFile;
import gullspar.config.Site;
import gullspar.config.SiteReader;
import gullspar.route.Request;
import gullspar.route.Route;
import gullspar.route.Router;
import gullspar.route.Template;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The commands that inspect an operator's file without a daemon. */
final class ConfigCommands {
    private ConfigCommands() {}

    /** Validates a file. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = {
                "Reads a configuration of routes and pools, or an operators' file of the",
                "platform's proxy, and prints all errors in it."
            },
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {"0:the file is valid", "2:the file has errors, or wrong usage"})
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "The configuration (TOML, docs/routing.md).")
        private Path file;

        @Override
        public Integer call() {
            return InputFiles.read(file, f -> {
                                String text = Files.readString(f);
                                return OperatorsFile.hasOnlyProcessTables(text)
                                        ? OperatorsFile.parse(text, f.toString())
                                        : SiteReader.parse(text, f.toString());
                            })
                            == null
                    ? 2
                    : 0;
        }
    }

    /** Explains how a request would be routed. */
    @Command(
            name = "route",
            mixinStandardHelpOptions = true,
            description =
                    "Prints which route of a configuration a request takes, why, and what would be " + "sent where.",
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {"0:a route matches", "1:no route matches", "2:wrong usage, or a file with errors"})
    static final class ExplainRoute implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(index = "0", paramLabel = "FILE", description = "The configuration.")
        private Path file;

        @Parameters(index = "1", paramLabel = "METHOD", description = "GET, POST ...")
        private String method;

        @Parameters(index = "2", paramLabel = "URL", description = "http://host/path?query")
        private String url;

        @Option(names = "-H", paramLabel = "HEADER", description = "A header, as 'Name: value'; may be repeated.")
        private List<String> headers = new ArrayList<>();

        @Override
        public Integer call() {
            Site site = InputFiles.read(file, SiteReader::read);
            if (site == null) {
                return 2;
            }
            Request r = request();
            Router router = site.router(port());
            router.explain(r).forEach(System.out::println);
            Router.Result found = router.find(r);
            if (found.route() == null) {
                System.out.println("answer " + found.status());
                return 1;
            }
            printTarget(found, r, site);
            return 0;
        }

        private int port() {
            int port = URI.create(url).getPort();
            return port < 0 ? 80 : port;
        }

        private Request request() {
            try {
                URI u = new URI(url);
                if (u.getHost() == null) {
                    throw new ParameterException(
                            spec.commandLine(), "'" + url + "' is not of the form http://host/path");
                }
                String path = u.getPath() == null || u.getPath().isEmpty() ? "/" : u.getPath();
                return new Request(
                        method.toUpperCase(Locale.ROOT), u.getHost(), path, u.getRawQuery(), name -> headers.stream()
                                .filter(h -> h.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                                .map(h -> h.substring(name.length() + 1).trim())
                                .toList());
            } catch (URISyntaxException e) {
                throw new ParameterException(spec.commandLine(), "'" + url + "': " + e.getReason());
            }
        }

        /** The value of a template variable: a group of the matched path, or an attribute of the request. */
        private static String templateValue(Router.Result found, Request r, String name) {
            if (name.equals("route")) {
                return found.route().name();
            }
            if (name.equals("pool")) {
                return found.route().pool() == null ? "" : found.route().pool().pool();
            }
            int group = Character.digit(name.charAt(0), 10);
            return group < 0
                    ? r.resolve(name)
                    : group < found.groups().size() ? found.groups().get(group) : "";
        }

        private static void printTarget(Router.Result found, Request r, Site site) {
            Route route = found.route();
            Template.VariableResolver values = name -> templateValue(found, r, name);
            if (route.fixedResponse() != null) {
                System.out.println("answer " + route.fixedResponse().status()
                        + (route.fixedResponse().location() == null
                                ? ""
                                : ", Location: "
                                        + route.fixedResponse().location().expand(values)));
                return;
            }
            Route.PoolTarget toPool = route.pool();
            System.out.println("pool " + toPool.pool() + ", class "
                    + Route.resolveClass(toPool.requestClass(), r.method())
                            .name()
                            .toLowerCase(Locale.ROOT) + ", within "
                    + toPool.limits().deadlineNs() / 1_000_000 + " ms, at most "
                    + toPool.limits().maxAttempts() + " attempts");
            System.out.println("sends " + r.method() + " " + toPool.rewrite().apply(r.path())
                    + (r.query() == null ? "" : "?" + r.query()));
            toPool.requestHeaders()
                    .set()
                    .forEach((name, value) -> System.out.println("  " + name + ": " + value.expand(values)));
            toPool.requestHeaders().remove().forEach(name -> System.out.println("  without " + name));
            Site.Pool pool = site.pools().get(toPool.pool());
            if (pool.discovery() != null) {
                System.out.println("  servers from " + pool.discovery());
            }
            pool.servers()
                    .forEach(s -> System.out.println("  server " + s.name() + " weight " + s.weight()
                            + (s.backup() ? " backup" : "") + (s.down() ? " down" : "")));
        }
    }
}
