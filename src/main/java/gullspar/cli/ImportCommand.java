package gullspar.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import gullspar.config.SiteReader;
import gullspar.importer.Importer;
import gullspar.importer.Report.Entry;
import gullspar.importer.Report.Verdict;
import gullspar.nginx.Problem;
import gullspar.toml.ProblemsException;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Converts configurations of other proxies. */
@Command(
        name = "import",
        mixinStandardHelpOptions = true,
        description = "Converts another proxy's configuration to an operator's file.",
        subcommands = ImportCommand.Nginx.class)
final class ImportCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "missing subcommand: nginx");
    }

    /** Converts nginx's configuration. */
    @Command(
            name = "nginx",
            mixinStandardHelpOptions = true,
            description = "Reads nginx's files and all files that they include, and writes routes and pools "
                    + "(docs/import-nginx.md).",
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {
                "0:all directives are translated or have no effect here, or --partial",
                "1:the result cannot be written or is not valid",
                "2:wrong usage, or files with errors",
                "3:a directive cannot be translated; nothing is written"
            })
    static final class Nginx implements Callable<Integer> {
        /** Format of the report. */
        enum ReportFormat {
            text,
            json
        }

        @Parameters(arity = "1..*", paramLabel = "FILE", description = "The main file, or several.")
        private List<Path> files;

        @Option(names = "-o", paramLabel = "OUT", description = "Writes to this file instead of standard output.")
        private Path out;

        @Option(
                names = "--report",
                paramLabel = "FORM",
                description = "text, on standard error: untranslatable "
                        + "directives and all remarks; json: every directive, on standard output with -o.")
        private ReportFormat reportFormat = ReportFormat.text;

        @Option(names = "--partial", description = "Writes the result even if some directives cannot be translated.")
        private boolean partial;

        @Option(
                names = "--host",
                paramLabel = "NAME=ADDRESS",
                description = "The IP address of a host name in the files; may be repeated.")
        private Map<String, String> hosts = new LinkedHashMap<>();

        @Override
        public Integer call() throws IOException {
            List<Problem> problems = new ArrayList<>();
            Importer.Result imported = Importer.read(files, hosts, problems);
            if (imported == null) {
                problems.forEach(System.err::println);
                return 2;
            }
            List<Entry> entries = imported.report().entries(imported.directives());
            if (reportFormat == ReportFormat.json) {
                (out == null ? System.err : System.out).println(json(entries));
            } else {
                printReport(entries);
            }
            if (!imported.report().isComplete() && !partial) {
                System.err.println(
                        "nothing is written: directives above cannot be translated; use --partial to write the rest");
                return 3;
            }
            return write(imported.toml());
        }

        private int write(String toml) {
            try {
                SiteReader.parse(toml, out == null ? "(result)" : out.toString());
            } catch (ProblemsException e) {
                System.err.println("the translated configuration is not valid:\n" + e.getMessage());
                if (!partial) {
                    return 1;
                }
            }
            if (out == null) {
                System.out.print(toml);
                System.out.flush();
                return 0;
            }
            try {
                Files.writeString(out, toml);
                return 0;
            } catch (IOException e) {
                System.err.println(out + ": cannot be written: " + e.getMessage());
                return 1;
            }
        }

        private static String verdictText(Verdict v) {
            return v.name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }

        /** Prints untranslatable directives and remarks, then the number of directives by verdict. */
        private static void printReport(List<Entry> entries) {
            int[] counts = new int[Verdict.values().length];
            for (Entry e : entries) {
                counts[e.verdict().ordinal()]++;
                if (!e.reason().isEmpty()) {
                    System.err.println(e.directive().position() + ": " + verdictText(e.verdict()) + ": "
                            + e.directive().name().text() + ": " + e.reason());
                }
            }
            System.err.println(entries.size() + " directives: " + counts[Verdict.TRANSLATED.ordinal()]
                    + " translated, " + counts[Verdict.NO_EFFECT.ordinal()] + " without effect here, "
                    + counts[Verdict.NOT_TRANSLATABLE.ordinal()] + " not translatable");
        }

        private static String json(List<Entry> entries) throws IOException {
            StringWriter text = new StringWriter();
            try (JsonGenerator g = new JsonFactory().createGenerator(text).useDefaultPrettyPrinter()) {
                g.writeStartArray();
                for (Entry e : entries) {
                    g.writeStartObject();
                    g.writeStringField("file", e.directive().position().file().toString());
                    g.writeNumberField("line", e.directive().position().line());
                    g.writeNumberField("column", e.directive().position().column());
                    g.writeStringField("directive", e.directive().name().text());
                    g.writeStringField("verdict", verdictText(e.verdict()));
                    g.writeStringField("why", e.reason());
                    g.writeEndObject();
                }
                g.writeEndArray();
            }
            return text.toString();
        }
    }
}
