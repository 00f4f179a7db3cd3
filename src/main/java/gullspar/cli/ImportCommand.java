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

/** Converts configurations of other proxies; one subcommand per kind of proxy. */
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

    /** Converts an nginx configuration to routes and pools, and reports directives that cannot be translated. */
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
        /** Format of the report; the constants are the values of {@code --report}. */
        enum ReportFormat {
            text,
            json
        }

        @Parameters(arity = "1..*", paramLabel = "FILE", description = "The main file, or several.")
        private List<Path> files;

        @Option(names = "-o", paramLabel = "OUT", description = "Writes to this file instead of standard output.")
        private Path outputFile;

        @Option(
                names = "--report",
                paramLabel = "FORM",
                description = "text, on standard error: untranslatable "
                        + "directives and all remarks; json: every directive, on standard output with -o.")
        private ReportFormat reportFormat = ReportFormat.text;

        @Option(names = "--partial", description = "Writes the result even if some directives cannot be translated.")
        private boolean allowPartial;

        @Option(
                names = "--host",
                paramLabel = "NAME=ADDRESS",
                description = "The IP address of a host name in the files; may be repeated.")
        private Map<String, String> hostAddresses = new LinkedHashMap<>();

        @Override
        public Integer call() throws IOException {
            List<Problem> problems = new ArrayList<>();
            Importer.Result imported = Importer.read(files, hostAddresses, problems);
            if (imported == null) {
                problems.forEach(System.err::println);
                return 2;
            }
            List<Entry> entries = imported.report().entries(imported.directives());
            if (reportFormat == ReportFormat.json) {
                (outputFile == null ? System.err : System.out).println(formatJson(entries));
            } else {
                printReport(entries);
            }
            if (!imported.report().isComplete() && !allowPartial) {
                System.err.println(
                        "nothing is written: directives above cannot be translated; use --partial to write the rest");
                return 3;
            }
            return write(imported.toml());
        }

        /**
         * Validates the translated configuration and writes it; returns the exit code. With {@code --partial}, a
         * configuration with errors is written too.
         */
        private int write(String toml) {
            try {
                SiteReader.parse(toml, outputFile == null ? "(result)" : outputFile.toString());
            } catch (ProblemsException e) {
                System.err.println("the translated configuration is not valid:\n" + e.getMessage());
                if (!allowPartial) {
                    return 1;
                }
            }
            if (outputFile == null) {
                System.out.print(toml);
                System.out.flush();
                return 0;
            }
            try {
                Files.writeString(outputFile, toml);
                return 0;
            } catch (IOException e) {
                System.err.println(outputFile + ": cannot be written: " + e.getMessage());
                return 1;
            }
        }

        private static String verdictText(Verdict verdict) {
            return verdict.name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }

        /** Prints untranslatable directives and remarks, then the number of directives by verdict. */
        private static void printReport(List<Entry> entries) {
            int[] counts = new int[Verdict.values().length];
            for (Entry entry : entries) {
                counts[entry.verdict().ordinal()]++;
                if (!entry.reason().isEmpty()) {
                    System.err.println(entry.directive().position() + ": " + verdictText(entry.verdict()) + ": "
                            + entry.directive().name().text() + ": " + entry.reason());
                }
            }
            System.err.println(entries.size() + " directives: " + counts[Verdict.TRANSLATED.ordinal()]
                    + " translated, " + counts[Verdict.NO_EFFECT.ordinal()] + " without effect here, "
                    + counts[Verdict.NOT_TRANSLATABLE.ordinal()] + " not translatable");
        }

        /** Formats all directives with position, verdict and reason as a JSON array. */
        private static String formatJson(List<Entry> entries) throws IOException {
            StringWriter text = new StringWriter();
            try (JsonGenerator generator =
                    new JsonFactory().createGenerator(text).useDefaultPrettyPrinter()) {
                generator.writeStartArray();
                for (Entry entry : entries) {
                    generator.writeStartObject();
                    generator.writeStringField(
                            "file", entry.directive().position().file().toString());
                    generator.writeNumberField(
                            "line", entry.directive().position().line());
                    generator.writeNumberField(
                            "column", entry.directive().position().column());
                    generator.writeStringField(
                            "directive", entry.directive().name().text());
                    generator.writeStringField("verdict", verdictText(entry.verdict()));
                    generator.writeStringField("why", entry.reason());
                    generator.writeEndObject();
                }
                generator.writeEndArray();
            }
            return text.toString();
        }
    }
}
