package gullspar.proxy.io;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Does the runtime use the archive of classes that it was started with? One that was made for another build
 * or runtime, or whose jar was copied since, is passed over without a word, and each start then takes longer.
 */
public enum ClassArchive {
    /** The command line names none, or this system does not tell. */
    NONE,
    USED,
    /** One is named, and the runtime has not taken it. */
    UNUSED;

    private static final String OPTION = "-XX:SharedArchiveFile=";

    /** As this process was started; the system tells by its command line and its mapped files. */
    public static ClassArchive ofThisProcess() {
        return of(Path.of("/proc/self/cmdline"), Path.of("/proc/self/maps"));
    }

    /** By a command line, its words ended by NUL, and the mapped files, one at the end of each line. */
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
