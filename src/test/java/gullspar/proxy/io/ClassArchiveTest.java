package gullspar.proxy.io;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reads the state of the class archive from a command line and the mapped files. */
class ClassArchiveTest {
    @TempDir
    Path folder;

    private ClassArchive of(String commandLine, String maps) throws Exception {
        return ClassArchive.of(
                Files.writeString(folder.resolve("cmdline"), commandLine),
                Files.writeString(folder.resolve("maps"), maps));
    }

    @Test
    void noneWithoutTheOption() throws Exception {
        assertEquals(ClassArchive.NONE, of("java\0-jar\0a.jar\0", "7f00-7f01 r--p 0 08:01 1 /lib/a.so\n"));
    }

    @Test
    void theLastOptionCountsAndIsUsedIfItsFileIsMapped() throws Exception {
        Path archive = folder.resolve("b.jsa");
        String line = "java\0-XX:SharedArchiveFile=a.jsa\0-XX:SharedArchiveFile=" + archive + "\0-jar\0a.jar\0";
        assertEquals(ClassArchive.USED, of(line, "7f00-7f01 r--p 0 08:01 1          " + archive + "\n"));
        assertEquals(ClassArchive.UNUSED, of(line, "7f00-7f01 r--p 0 08:01 1          /x/a.jsa\n"));
    }

    @Test
    void noneWhereProcFilesCannotBeRead() {
        assertEquals(ClassArchive.NONE, ClassArchive.of(folder.resolve("none"), folder.resolve("none")));
    }
}
