package gullspar.proxy.io;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Whether the JVM uses the class data sharing archive that it was started with. It silently ignores an archive
 * made for another build or JVM, or whose jar was copied since; every start then takes longer.
 */
public enum ClassArchive {
    /** The command line names none, or /proc is not available. */
    NONE,
    USED,
    /** The command line names one, and the JVM has not mapped it. */
    UNUSED;

    private static final String OPTION = "-XX:SharedArchiveFile=";

    /** The state of this process, from its command line and its mapped files in /proc. */
    public static ClassArchive ofThisProcess() {
        return of(Path.of("/proc/self/cmdline"), Path.of("/proc/self/maps"));
    }

    /** Reads a command line, its arguments terminated by NUL, and the mapped files, one at the end of each line. */
    static ClassArchive of(Path commandLine, Path maps) {
        try {
            Optional<String> archive = Stream.of(Files.readString(commandLine, StandardCharsets.UTF_8)
                            .split("\0"))
                    .filter(argument -> argument.startsWith(OPTION))
                    .map(argument -> argument.substring(OPTION.length()))
                    .reduce((earlier, later) -> later);
            if (archive.isEmpty()) {
                return NONE;
            }
            String file = Path.of(archive.get()).toAbsolutePath().normalize().toString();
            try (Stream<String> lines = Files.lines(maps, StandardCharsets.UTF_8)) {
                return lines.anyMatch(line -> line.endsWith(" " + file)) ? USED : UNUSED;
            }
        } catch (IOException | RuntimeException e) {
            return NONE;
        }
    }
}
