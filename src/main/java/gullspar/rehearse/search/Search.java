package gullspar.rehearse.search;

import gullspar.rehearse.play.VirtualPlay;
import gullspar.rehearse.script.Script;
import gullspar.rehearse.script.ScriptWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Plays days with random faults, reduces each day that breaks a rule or falls below the service bound, and
 * writes it as a script. The state is saved after each day, so that an interrupted search resumes where it
 * stopped.
 */
public final class Search {
    /**
     * Receives the progress of a search: the numbers of finished days, findings and all days after each day,
     * and each finding once its script is written.
     */
    public interface Listener {
        void onProgress(int done, int found, int total);

        void onFinding(Finding finding, Path script);
    }

    private static final String STATE_FILE = "search.state";

    private final Script script;
    private final int days;
    private final Path folder;
    private final VirtualPlay.Options options;
    private final Listener listener;
    private final TreeSet<Integer> finishedDays = new TreeSet<>();
    private final AtomicInteger nextDay = new AtomicInteger(1);
    private int findingCount;
    private volatile boolean stopped;

    /** Days are numbered from 1; findings and the state are written to the folder, which is created. */
    public Search(Script script, int days, Path folder, VirtualPlay.Options options, Listener listener) {
        this.script = script;
        this.days = days;
        this.folder = folder;
        this.options = options;
        this.listener = listener;
    }

    /** Stops the search soon; days in progress are discarded and played again by the next run. */
    public void stop() {
        stopped = true;
    }

    /** Returns the number of days with a finding, including those of earlier runs. */
    public int run(int jobs) throws IOException {
        Files.createDirectories(folder);
        readState();
        ExecutorService pool = Executors.newFixedThreadPool(jobs);
        try {
            List<Future<?>> workers = new ArrayList<>();
            for (int i = 0; i < jobs; i++) {
                workers.add(pool.submit(this::playDays));
            }
            for (Future<?> w : workers) {
                w.get();
            }
            return findingCount;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } finally {
            stopped = true;
            pool.shutdown();
        }
    }

    private void playDays() {
        for (int n = nextDay.getAndIncrement(); n <= days && !stopped; n = nextDay.getAndIncrement()) {
            if (isFinished(n)) {
                continue;
            }
            Script day = DayGenerator.generate(script, n);
            Finding finding =
                    Finding.fromVerdict(day, VirtualPlay.play(day, options).verdict());
            if (finding != null) {
                finding = FindingReducer.smallest(finding, options, () -> stopped);
            }
            if (stopped) {
                return; // the reduction may be incomplete: the next run plays the day again
            }
            recordDay(n, finding);
        }
    }

    private synchronized boolean isFinished(int n) {
        return finishedDays.contains(n);
    }

    private synchronized void recordDay(int n, Finding finding) {
        try {
            if (finding != null) {
                findingCount++;
                Path file = folder.resolve("found-" + finding.ruleName() + "-" + n + ".toml");
                Files.writeString(
                        file,
                        "# Day " + n + " of a search. " + finding.description().replace('\n', ' ') + "\n"
                                + "# Play it again: ./gullspar rehearse " + file.getFileName() + "\n"
                                + ScriptWriter.write(finding.script()));
                listener.onFinding(finding, file);
            }
            finishedDays.add(n);
            Files.writeString(
                    folder.resolve(STATE_FILE),
                    n + (finding == null ? " kept" : " " + finding.ruleName()) + "\n",
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        listener.onProgress(finishedDays.size(), findingCount, days);
    }

    /** Reads the state of earlier runs. Its first line identifies the script: the state of another one is discarded. */
    private void readState() throws IOException {
        Path file = folder.resolve(STATE_FILE);
        String header =
                "search of " + Integer.toHexString(ScriptWriter.write(script).hashCode());
        String text = Files.exists(file) ? Files.readString(file) : "";
        // A killed process may leave a partial last line: drop it, so that the next line is not appended to it.
        text = text.substring(0, text.lastIndexOf('\n') + 1);
        List<String> lines = text.lines().toList();
        if (lines.isEmpty() || !lines.get(0).equals(header)) {
            Files.writeString(file, header + "\n");
            return;
        }
        Files.writeString(file, text);
        for (String line : lines.subList(1, lines.size())) {
            String[] parts = line.split(" ");
            if (parts.length == 2 && parts[0].matches("\\d{1,9}") && finishedDays.add(Integer.parseInt(parts[0]))) {
                findingCount += parts[1].equals("kept") ? 0 : 1;
            }
        }
    }
}
