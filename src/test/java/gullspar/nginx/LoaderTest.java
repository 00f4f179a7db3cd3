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

/** Files that include files. */
class LoaderTest {
    @TempDir
    Path folder;

    private final List<Problem> problems = new ArrayList<>();

    private void file(String name, String text) throws IOException {
        Path file = folder.resolve(name);
        Files.createDirectories(file.getParent());
        Files.writeString(file, text);
    }

    private String load() {
        return names(Loader.load(folder.resolve("nginx.conf"), problems));
    }

    private static String names(List<Directive> all) {
        return all.stream()
                .map(d -> d.name().text() + (d.block() == null ? "" : "{" + names(d.block()) + "}"))
                .collect(Collectors.joining(" "));
    }

    @Test
    void namesCountFromTheFirstFilesFolder() throws Exception {
        file("nginx.conf", "a;\nhttp { include conf.d/*.conf; include other/none-*.conf; z; }\n");
        file("conf.d/2.conf", "two;");
        file("conf.d/1.conf", "include snippets/x; one;");
        file("conf.d/.hidden.conf", "hidden;");
        file("conf.d/3.txt", "three;");
        file("snippets/x", "x;");
        assertEquals("a http{include include x one two include z}", load());
        assertEquals(List.of(), problems);
    }

    @Test
    void starsInFoldersAndAbsoluteNames() throws Exception {
        file("nginx.conf", "include sites/*/site-[ab].conf; include " + folder.resolve("one") + ";");
        file("sites/y/site-a.conf", "ya;");
        file("sites/x/site-b.conf", "xb;");
        file("sites/x/site-c.conf", "xc;");
        file("one", "one;");
        assertEquals("include xb ya include one", load());
    }

    @Test
    void aFileThatIncludesItselfAndOneThatIsNotThere() throws Exception {
        file("nginx.conf", "a;\n  include b;\ninclude missing;\ninclude x y;\n");
        file("b", "include nginx.conf; b;");
        assertEquals("a include include b include include", load());
        assertEquals(3, problems.size(), problems.toString());
        assertTrue(problems.get(0).toString().contains("b:1:1: a file that includes itself: "), problems.toString());
        assertTrue(problems.get(1).toString().contains("nginx.conf:3:1: there is no such file: "), problems.toString());
        assertTrue(problems.get(2).toString().endsWith("include takes one name\ninclude x y;\n^"), problems.toString());
    }

    @Test
    void twiceTheSameFileIsNoCircle() throws Exception {
        file("nginx.conf", "include b; include b;");
        file("b", "b;");
        assertEquals("include b include b", load());
        assertEquals(List.of(), problems);
    }

    @Test
    void problemsOfAllFilesComeTogether() throws Exception {
        file("nginx.conf", "include b; c");
        file("b", "d }");
        load();
        assertEquals(
                2,
                problems.stream()
                        .map(p -> p.place().file().getFileName().toString())
                        .distinct()
                        .count());
    }
}
