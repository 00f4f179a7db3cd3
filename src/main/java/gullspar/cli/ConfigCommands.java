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

/** The commands that inspect an operator's file without running a proxy: {@code check} and {@code route}. */
final class ConfigCommands {
    private ConfigCommands() {}

    /** Validates an operator's file and prints all errors in it. */
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
            return InputFiles.read(file, path -> {
                                String text = Files.readString(path);
                                return OperatorsFile.hasOnlyProcessTables(text)
                                        ? OperatorsFile.parse(text, path.toString())
                                        : SiteReader.parse(text, path.toString());
                            })
                            == null
                    ? 2
                    : 0;
        }
    }

    /** Explains how a request would be routed; sends nothing. */
    @Command(
            name = "route",
            mixinStandardHelpOptions = true,
            description = "Prints which route of a configuration a request takes, why, and what would be sent where.",
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
            Request request = parseRequest();
            Router router = site.router(port());
            router.explain(request).forEach(System.out::println);
            Router.Result found = router.find(request);
            if (found.route() == null) {
                System.out.println("answer " + found.status());
                return 1;
            }
            printTarget(found, request, site);
            return 0;
        }

        /** The port of the URL, or 80 if it has none. */
        private int port() {
            int port = URI.create(url).getPort();
            return port < 0 ? 80 : port;
        }

        /** The request given by the method, the URL and the headers of the command line. */
        private Request parseRequest() {
            try {
                URI uri = new URI(url);
                if (uri.getHost() == null) {
                    throw new ParameterException(
                            spec.commandLine(), "'" + url + "' is not of the form http://host/path");
                }
                String path = uri.getPath() == null || uri.getPath().isEmpty() ? "/" : uri.getPath();
                return new Request(
                        method.toUpperCase(Locale.ROOT),
                        uri.getHost(),
                        path,
                        uri.getRawQuery(),
                        name -> headers.stream()
                                .filter(header -> header.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                                .map(header ->
                                        header.substring(name.length() + 1).trim())
                                .toList());
            } catch (URISyntaxException e) {
                throw new ParameterException(spec.commandLine(), "'" + url + "': " + e.getReason());
            }
        }

        /**
         * The value of a template variable: the name of the route or pool, a numbered group of the matched path, or an
         * attribute of the request.
         */
        private static String templateValue(Router.Result found, Request request, String name) {
            if (name.equals("route")) {
                return found.route().name();
            }
            if (name.equals("pool")) {
                return found.route().pool() == null ? "" : found.route().pool().pool();
            }
            int group = Character.digit(name.charAt(0), 10);
            return group < 0
                    ? request.resolve(name)
                    : group < found.groups().size() ? found.groups().get(group) : "";
        }

        /** Prints the fixed response of the route, or its pool with the forwarded request and the servers. */
        private static void printTarget(Router.Result found, Request request, Site site) {
            Route route = found.route();
            Template.VariableResolver values = name -> templateValue(found, request, name);
            if (route.fixedResponse() != null) {
                System.out.println("answer " + route.fixedResponse().status()
                        + (route.fixedResponse().location() == null
                                ? ""
                                : ", Location: "
                                        + route.fixedResponse().location().expand(values)));
                return;
            }
            Route.PoolTarget target = route.pool();
            System.out.println("pool " + target.pool() + ", class "
                    + Route.resolveClass(target.requestClass(), request.method())
                            .name()
                            .toLowerCase(Locale.ROOT) + ", within "
                    + target.limits().deadlineNs() / 1_000_000 + " ms, at most "
                    + target.limits().maxAttempts() + " attempts");
            System.out.println("sends " + request.method() + " "
                    + target.rewrite().apply(request.path()) + (request.query() == null ? "" : "?" + request.query()));
            target.requestHeaders()
                    .set()
                    .forEach((name, value) -> System.out.println("  " + name + ": " + value.expand(values)));
            target.requestHeaders().remove().forEach(name -> System.out.println("  without " + name));
            Site.Pool pool = site.pools().get(target.pool());
            if (pool.discovery() != null) {
                System.out.println("  servers from " + pool.discovery());
            }
            pool.servers()
                    .forEach(server -> System.out.println("  server " + server.name() + " weight " + server.weight()
                            + (server.backup() ? " backup" : "") + (server.down() ? " down" : "")));
        }
    }
}
