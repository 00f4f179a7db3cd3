package gullspar.nginx;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests includes: name resolution, patterns, cycles and missing files. */
class LoaderTest {
    @TempDir
    Path folder;

    private final List<Problem> problems = new ArrayList<>();

    private void writeFile(String name, String text) throws IOException {
        Path file = folder.resolve(name);
        Files.createDirectories(file.getParent());
        Files.writeString(file, text);
    }

    private String load() {
        return format(Loader.load(folder.resolve("nginx.conf"), problems));
    }

    private static String format(List<Directive> directives) {
        return directives.stream()
                .map(d -> d.name().text() + (d.block() == null ? "" : "{" + format(d.block()) + "}"))
                .collect(Collectors.joining(" "));
    }

    @Test
    void relativeNamesResolveAgainstTheMainFilesFolder() throws Exception {
        writeFile("nginx.conf", "a;\nhttp { include conf.d/*.conf; include other/none-*.conf; z; }\n");
        writeFile("conf.d/2.conf", "two;");
        writeFile("conf.d/1.conf", "include snippets/x; one;");
        writeFile("conf.d/.hidden.conf", "hidden;");
        writeFile("conf.d/3.txt", "three;");
        writeFile("snippets/x", "x;");
        assertEquals("a http{include include x one two include z}", load());
        assertEquals(List.of(), problems);
    }

    @Test
    void globsInFolderNamesAndAbsoluteNames() throws Exception {
        writeFile("nginx.conf", "include sites/*/site-[ab].conf; include " + folder.resolve("one") + ";");
        writeFile("sites/y/site-a.conf", "ya;");
        writeFile("sites/x/site-b.conf", "xb;");
        writeFile("sites/x/site-c.conf", "xc;");
        writeFile("one", "one;");
        assertEquals("include xb ya include one", load());
    }

    @Test
    void reportsCyclesMissingFilesAndWrongArguments() throws Exception {
        writeFile("nginx.conf", "a;\n  include b;\ninclude missing;\ninclude x y;\n");
        writeFile("b", "include nginx.conf; b;");
        assertEquals("a include include b include include", load());
        assertEquals(3, problems.size(), problems.toString());
        assertTrue(problems.get(0).toString().contains("b:1:1: file includes itself: "), problems.toString());
        assertTrue(problems.get(1).toString().contains("nginx.conf:3:1: no such file: "), problems.toString());
        assertTrue(
                problems.get(2).toString().endsWith("include takes exactly one argument\ninclude x y;\n^"),
                problems.toString());
    }

    @Test
    void includingAFileTwiceIsNotACycle() throws Exception {
        writeFile("nginx.conf", "include b; include b;");
        writeFile("b", "b;");
        assertEquals("include b include b", load());
        assertEquals(List.of(), problems);
    }

    @Test
    void reportsProblemsOfAllFiles() throws Exception {
        writeFile("nginx.conf", "include b; c");
        writeFile("b", "d }");
        load();
        assertEquals(
                2,
                problems.stream()
                        .map(p -> p.position().file().getFileName().toString())
                        .distinct()
                        .count());
    }
}
