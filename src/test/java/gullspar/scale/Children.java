package gullspar.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

/** All processes of a run, within its limits, and the folder of their files. Closing it ends them by id. */
final class Children implements AutoCloseable {
    private static final int MOST = 200;

    private final List<Child> all = new CopyOnWriteArrayList<>();
    private final long mostBytes;
    private final Path folder;
    private final Thread atExit = new Thread(this::killAll, "end of the children");
    private long peakBytes;

    /** mostBytes: resident memory of all of them together. */
    Children(long mostBytes) throws IOException {
        this.mostBytes = mostBytes;
        this.folder = Files.createTempDirectory("gullspar-scale");
        Runtime.getRuntime().addShutdownHook(atExit);
    }

    Path folder() {
        return folder;
    }

    /** Starts one, if there is room for it and for the memory that it may come to need. */
    Child start(String name, int mayNeedMb, List<String> command, Map<String, String> environment)
            throws ScaleException, IOException {
        look();
        if (all.stream().filter(Child::alive).count() >= MOST) {
            throw new ScaleException(ScaleException.MEMORY, name + " would be one process too many: " + MOST);
        }
        long free = Math.min(mostBytes - residentBytes(), Accounts.availableBytes());
        if (free < (long) mayNeedMb << 20) {
            throw new ScaleException(
                    ScaleException.MEMORY,
                    "too little memory for " + name + ": it may need " + mayNeedMb + " MB, " + (free >> 20)
                            + " MB are left");
        }
        Child c = Child.start(name, command, environment);
        all.add(c);
        System.out.println("started " + name + ", pid " + c.pid());
        return c;
    }

    private long residentBytes() throws IOException {
        long sum = 0;
        for (Child c : all) {
            sum += c.alive() ? Accounts.residentBytes(c.pid()) : 0;
        }
        peakBytes = Math.max(peakBytes, sum);
        return sum;
    }

    /** All of them that are meant to live do, within the memory; else says which does not. */
    void look() throws ScaleException {
        for (Child c : all) {
            if (c.died()) {
                throw c.death();
            }
        }
        try {
            if (residentBytes() > mostBytes) {
                throw new ScaleException(
                        ScaleException.MEMORY, "the processes hold more than " + (mostBytes >> 20) + " MB");
            }
        } catch (IOException e) {
            return; // one has just ended: the next look tells
        }
    }

    long peakBytes() {
        return peakBytes;
    }

    private void killAll() {
        all.forEach(Child::kill);
    }

    /** Ends those. */
    void end(List<Child> some) {
        some.forEach(Child::kill);
        some.forEach(Child::awaitEnd);
        all.removeAll(some);
    }

    @Override
    public void close() throws IOException {
        end(List.copyOf(all));
        try {
            Runtime.getRuntime().removeShutdownHook(atExit);
        } catch (IllegalStateException e) {
            killAll(); // this process is ending: the hook does the same
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(p);
            }
        }
    }
}
