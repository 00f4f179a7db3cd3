package gullspar.proxy;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Starts the program as a platform does: as an unprivileged user, even if the tests run as root. */
final class UnprivilegedUser {
    private static final String NOBODY_ID = "65534";
    /** A copy of this process's class path that an unprivileged user can read, made once per run. */
    private static final String CLASS_PATH = copyClassPath();

    private UnprivilegedUser() {}

    /** Prefix that makes a command run as an unprivileged user; empty if this process is unprivileged itself. */
    static List<String> commandPrefix() throws IOException {
        return isRoot()
                ? List.of("setpriv", "--reuid=" + NOBODY_ID, "--regid=" + NOBODY_ID, "--clear-groups", "--")
                : List.of();
    }

    /** The copied class path, readable by such a user. */
    static String classPath() {
        return CLASS_PATH;
    }

    /** The command that starts the program with the given JVM options. */
    static List<String> serveCommand(List<String> options) throws IOException {
        List<String> command = new ArrayList<>(commandPrefix());
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xlog:disable", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m"));
        command.addAll(options);
        command.addAll(List.of("-cp", CLASS_PATH, "gullspar.Main", "serve"));
        return command;
    }

    private static boolean isRoot() throws IOException {
        return Files.getAttribute(Path.of("/proc/self"), "unix:uid").equals(0);
    }

    /** Lets such a user read a folder that it does not own. */
    static void makeReadable(Path folder) throws IOException {
        Files.setPosixFilePermissions(folder, PosixFilePermissions.fromString("rwxr-xr-x"));
    }

    /** Lets such a user write to a folder, as it may to $TMPDIR. */
    static void makeWritable(Path folder) throws IOException {
        Files.setPosixFilePermissions(folder, PosixFilePermissions.fromString("rwxrwxrwx"));
    }

    private static String copyClassPath() {
        try {
            Path copy = Files.createTempDirectory("gullspar-class-path");
            makeReadable(copy);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> delete(copy)));
            List<String> entries = new ArrayList<>();
            for (String entry : System.getProperty("java.class.path").split(File.pathSeparator)) {
                Path to = copy.resolve(entries.size() + "-" + Path.of(entry).getFileName());
                copy(Path.of(entry), to);
                entries.add(to.toString());
            }
            return String.join(File.pathSeparator, entries);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void copy(Path from, Path to) throws IOException {
        try (Stream<Path> all = Files.walk(from)) {
            for (Path one : all.toList()) {
                Files.copy(one, to.resolve(from.relativize(one).toString()));
            }
        }
    }

    private static void delete(Path folder) {
        try (Stream<Path> all = Files.walk(folder)) {
            all.sorted((a, b) -> b.compareTo(a)).forEach(p -> p.toFile().delete());
        } catch (IOException e) {
            // a leftover in the system's temporary folder does no harm
        }
    }
}
