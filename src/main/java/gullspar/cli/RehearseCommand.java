package gullspar.cli;

import gullspar.rehearse.judge.RequestTrace;
import gullspar.rehearse.judge.RuleViolation;
import gullspar.rehearse.judge.Verdict;
import gullspar.rehearse.live.LivePlay;
import gullspar.rehearse.play.DayResult;
import gullspar.rehearse.play.VirtualPlay;
import gullspar.rehearse.record.LogDiff;
import gullspar.rehearse.report.HtmlReport;
import gullspar.rehearse.report.JsonReport;
import gullspar.rehearse.script.FaultKind;
import gullspar.rehearse.script.Script;
import gullspar.rehearse.script.ScriptReader;
import java.io.IOException;
import java.io.Writer;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Plays the day of a script, in virtual or real time, and reports whether all rules were kept. */
@Command(
        name = "rehearse",
        mixinStandardHelpOptions = true,
        description = {
            "Plays a day by a script, in virtual time: one script and seed always give the same result.",
            "Scripts are described in docs/rehearsal.md; examples are in examples/rehearsals."
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:all rules kept, all expectations met",
            "1:a rule was broken, or the day could not be played",
            "2:wrong usage, or a script with errors (nothing is played)"
        },
        subcommands = {SearchCommand.class, RehearseCommand.Diff.class, RehearseCommand.Faults.class})
final class RehearseCommand implements Callable<Integer> {
    static final int EXIT_FAILED = 1;
    static final int EXIT_USAGE = 2;

    @Spec
    private CommandSpec spec;

    @Parameters(arity = "0..1", paramLabel = "SCRIPT", description = "The script to play.")
    private Path scriptFile;

    @Option(names = "--seed", paramLabel = "N", description = "Overrides the script's seed.")
    private Integer seed;

    @Option(names = "--log", paramLabel = "FILE", description = "Writes the decision log to this file.")
    private Path logFile;

    @Option(names = "--live", description = "Plays it in real time, with real daemon processes on loopback.")
    private boolean playLive;

    @Option(names = "--report", paramLabel = "FILE", description = "Writes an HTML report to this file.")
    private Path reportFile;

    @Option(names = "--json", description = "Prints the result as JSON.")
    private boolean printJson;

    @Override
    public Integer call() {
        if (scriptFile == null) {
            throw new ParameterException(spec.commandLine(), "missing script");
        }
        Script script = InputFiles.read(scriptFile, ScriptReader::read);
        if (script == null) {
            return EXIT_USAGE;
        }
        script = seed == null ? script : script.withSeed(seed);
        for (Path path : Stream.of(logFile, reportFile).filter(Objects::nonNull).toList()) {
            // Checked first, as a day can take long to play.
            if (!Files.isDirectory(path.toAbsolutePath().getParent()) || Files.isDirectory(path)) {
                throw new ParameterException(
                        spec.commandLine(),
                        path + " cannot be written: its folder does not exist, or it is a folder itself");
            }
        }
        Terminal terminal = new Terminal();
        DayResult result;
        if (playLive && logFile != null) {
            throw new ParameterException(
                    spec.commandLine(), "--log requires virtual time and cannot be combined with --live");
        }
        try {
            result = playLive ? LivePlay.play(script, terminal) : playVirtual(script, terminal);
            if (reportFile != null) {
                Files.writeString(reportFile, HtmlReport.render(result));
            }
        } catch (IOException e) {
            System.err.println("the script cannot be played, or its report cannot be written: " + e.getMessage());
            return EXIT_FAILED;
        } finally {
            terminal.clearStatus();
        }
        result.notes().forEach(note -> System.err.println("note: " + note));
        if (printJson) {
            System.out.println(JsonReport.render(result));
        } else {
            if (terminal.isInteractive()) {
                summaryLines(result).forEach(System.out::println);
            }
            if (!playLive) {
                System.out.println("decisions " + result.decisionCount() + " sha256 " + result.decisionHash());
            }
        }
        return result.verdict().hasNoViolations() ? 0 : reportViolations(result);
    }

    private DayResult playVirtual(Script script, Terminal terminal) throws IOException {
        try (Writer decisionLog = logFile == null ? null : Files.newBufferedWriter(logFile)) {
            return VirtualPlay.play(script, VirtualPlay.Options.withDecisionLog(decisionLog, terminal));
        }
    }

    /** Prints the first violation, the trace of its request and the command that replays the day. */
    private int reportViolations(DayResult result) {
        RuleViolation first = result.verdict().violations().get(0);
        System.err.println("BROKEN: " + first.rule().description()
                + (result.verdict().violations().size() > 1
                        ? " (and " + (result.verdict().violations().size() - 1) + " more)"
                        : ""));
        System.err.printf(
                Locale.ROOT,
                "at %.6f s: %s%n",
                (first.atNs() - result.eventLog().start()) / 1e9,
                first.description());
        if (first.request() != null) {
            RequestTrace.of(first.request(), result.eventLog()).forEach(line -> System.err.println("  " + line));
        }
        System.err.println("play it again: ./gullspar rehearse " + scriptFile + " --seed "
                + result.script().seed() + (playLive ? " --live" : ""));
        return EXIT_FAILED;
    }

    /** The summary for interactive terminals. */
    private static List<String> summaryLines(DayResult result) {
        Verdict verdict = result.verdict();
        return List.of(
                String.format(
                        Locale.ROOT,
                        "%s, seed %d: %d orders in %.0f s, played in %.1f s",
                        result.script().title(),
                        result.script().seed(),
                        verdict.orders(),
                        result.script().seconds(),
                        result.wallTimeNs() / 1e9),
                String.format(Locale.ROOT, "  service        %.4f of the worth asked for", verdict.service()),
                String.format(
                        Locale.ROOT,
                        "  worst 10 s     %.4f, from %.0f s",
                        verdict.worst10s(),
                        verdict.worstFromNs() / 1e9),
                String.format(Locale.ROOT, "  worst class    %.4f, %s", verdict.worstClass(), verdict.worstClassName()),
                "  tries          "
                        + verdict.counts().entrySet().stream()
                                .filter(e -> e.getValue() > 0)
                                .map(e -> e.getValue() + " " + e.getKey())
                                .collect(Collectors.joining(", ")),
                "  ran twice      " + verdict.duplicateEffects() + " keyed orders, by their clients' own retries",
                "  rules          "
                        + (verdict.hasNoViolations()
                                ? "all kept"
                                : verdict.violations().size() + " times broken"));
    }

    /** Compares two decision logs and shows the first decision that differs. */
    @Command(
            name = "diff",
            mixinStandardHelpOptions = true,
            description = {
                "Shows the first decision in which two runs differ, and what each of them knew then.",
                "Both files are decision logs, as rehearse --log writes them."
            },
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {"0:identical", "1:different", "2:wrong usage, or a file that is not a decision log"})
    static final class Diff implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "A", description = "The first decision log.")
        private Path firstLog;

        @Parameters(index = "1", paramLabel = "B", description = "The second decision log.")
        private Path secondLog;

        @Override
        public Integer call() {
            try {
                List<String> lines = LogDiff.compare(firstLog, secondLog);
                lines.forEach(System.out::println);
                return lines.isEmpty() ? 0 : EXIT_FAILED;
            } catch (LogDiff.MalformedLogException e) {
                System.err.println(e.getMessage());
            } catch (NoSuchFileException e) {
                System.err.println(e.getMessage() + ": there is no such file");
            } catch (CharacterCodingException e) {
                System.err.println("one of the two files is not UTF-8 text");
            } catch (IOException e) {
                System.err.println("a decision log cannot be read: " + e.getMessage());
            }
            return EXIT_USAGE;
        }
    }

    /** Lists the faults that scripts can contain. */
    @Command(
            name = "faults",
            mixinStandardHelpOptions = true,
            description = "Lists the kinds of faults with their parameters, defaults and bounds.")
    static final class Faults implements Callable<Integer> {
        @Override
        public Integer call() {
            for (FaultKind kind : FaultKind.values()) {
                System.out.println(
                        kind.scriptName() + "  (" + kind.target().name().toLowerCase(Locale.ROOT)
                                + (kind.isMomentary() ? "" : ", for") + ")"
                                + kind.parameters().stream()
                                        .map(parameter -> String.format(
                                                Locale.ROOT,
                                                "  %s = %s (%s to %s)",
                                                parameter.name(),
                                                parameter.defaultValue(),
                                                parameter.min(),
                                                parameter.max()))
                                        .collect(Collectors.joining()));
            }
            return 0;
        }
    }
}
