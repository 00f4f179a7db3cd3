package gullspar.cli;

import gullspar.rehearse.play.ProgressListener;
import gullspar.rehearse.play.VirtualPlay;
import gullspar.rehearse.script.Script;
import gullspar.rehearse.script.ScriptReader;
import gullspar.rehearse.search.Finding;
import gullspar.rehearse.search.Search;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Searches for days that break a rule or fall below the script's bound on the service. */
@Command(
        name = "search",
        mixinStandardHelpOptions = true,
        description = {
            "Plays days with random faults; where a rule breaks or the service falls below the script's " + "bound,",
            "reduces the day to the smallest that still fails, and writes it as a script.",
            "Ctrl-C stops it; the same command resumes where it stopped."
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:nothing was found",
            "1:a failing day was found, or the search failed",
            "2:wrong usage, or a script with errors"
        })
final class SearchCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "SCRIPT", description = "The fleet and, in [search], what may be drawn.")
    private Path scriptFile;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "100",
            description = "How many days to play (${DEFAULT-VALUE}).")
    private int dayCount;

    @Option(names = "--jobs", paramLabel = "J", description = "Days played in parallel (default: the number of cores).")
    private Integer parallelDays;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            defaultValue = "found",
            description = "Folder for scripts and the state of the search (${DEFAULT-VALUE}).")
    private Path outputFolder;

    @Override
    public Integer call() {
        if (dayCount < 1 || parallelDays != null && parallelDays < 1) {
            throw new ParameterException(spec.commandLine(), "--seeds and --jobs must be at least 1");
        }
        Script script = InputFiles.read(scriptFile, ScriptReader::read);
        if (script == null) {
            return RehearseCommand.EXIT_USAGE;
        }
        Terminal terminal = new Terminal();
        Search search = new Search(
                script,
                dayCount,
                outputFolder,
                VirtualPlay.Options.withDecisionLog(null, ProgressListener.NONE),
                new Search.Listener() {
                    @Override
                    public void onProgress(int done, int found, int total) {
                        terminal.showStatus(done + " of " + total + " days played, " + found + " found");
                    }

                    @Override
                    public void onFinding(Finding finding, Path file) {
                        terminal.clearStatus();
                        System.out.println(file + ": " + finding.description());
                    }
                });
        Runtime.getRuntime().addShutdownHook(new Thread(search::stop));
        try {
            int found = search.run(parallelDays == null ? Runtime.getRuntime().availableProcessors() : parallelDays);
            terminal.clearStatus();
            System.out.println(found + " found in " + dayCount + " days");
            return found == 0 ? 0 : RehearseCommand.EXIT_FAILED;
        } catch (IOException e) {
            terminal.clearStatus();
            System.err.println("the search failed: " + e.getMessage());
            return RehearseCommand.EXIT_FAILED;
        }
    }
}
