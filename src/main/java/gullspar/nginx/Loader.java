package gullspar.nginx;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.regex.PatternSyntaxException;

/**
 * Reads a file and all files that it includes, by nginx's rules: a relative name is resolved against the
 * folder of the main file, whichever file includes it; a name with *, ? or [ is a pattern that may match any
 * number of files, which are read in the order of their names; any other name must exist. The include stays
 * in the result as a directive, followed by the directives of the included files.
 */
public final class Loader {
    private static final long MAX_FILE_BYTES = 16L << 20;
    private static final int MAX_FILES = 10_000;

    private final Path mainFolder;
    /** The folder as the caller gave it, absolute or relative: positions name included files in the same way. */
    private final Path mainFolderAsGiven;

    private final List<Problem> problems;
    private final Deque<Path> openFiles = new ArrayDeque<>();
    private int fileCount;

    private Loader(Path file, List<Problem> problems) {
        this.mainFolder = file.toAbsolutePath().getParent();
        this.mainFolderAsGiven = file.getParent() == null ? Path.of("") : file.getParent();
        this.problems = problems;
    }

    /** Returns the directives of a file and of all files it includes; problems are added to the list. */
    public static List<Directive> load(Path file, List<Problem> problems) {
        return new Loader(file, problems).loadFile(file, new SourceLocation(file, 1, 1), "");
    }

    private List<Directive> loadFile(Path file, SourceLocation includedAt, String lineText) {
        Path absolute = file.toAbsolutePath().normalize();
        if (openFiles.contains(absolute)) {
            problems.add(new Problem(includedAt, "file includes itself: " + file, lineText));
            return List.of();
        }
        if (++fileCount > MAX_FILES) {
            problems.add(new Problem(includedAt, "more than " + MAX_FILES + " files are included", lineText));
            return List.of();
        }
        String text;
        try {
            if (Files.size(absolute) > MAX_FILE_BYTES) {
                problems.add(new Problem(
                        includedAt, "file is larger than " + (MAX_FILE_BYTES >> 20) + " MiB: " + file, lineText));
                return List.of();
            }
            text = Files.readString(absolute);
        } catch (NoSuchFileException e) {
            problems.add(new Problem(includedAt, "no such file: " + file, lineText));
            return List.of();
        } catch (CharacterCodingException e) {
            problems.add(new Problem(includedAt, "file is not UTF-8: " + file, lineText));
            return List.of();
        } catch (IOException e) {
            problems.add(
                    new Problem(includedAt, "file cannot be read: " + file + " (" + e.getMessage() + ")", lineText));
            return List.of();
        }
        openFiles.push(absolute);
        List<Directive> expanded = expandIncludes(Parser.parse(text, file, problems), text);
        openFiles.pop();
        return expanded;
    }

    private List<Directive> expandIncludes(List<Directive> directives, String text) {
        List<Directive> expanded = new ArrayList<>();
        for (Directive d : directives) {
            if (d.block() != null) {
                expanded.add(new Directive(d.name(), d.arguments(), expandIncludes(d.block(), text), null));
                continue;
            }
            expanded.add(d);
            if (d.is("include")) {
                String lineText =
                        text.lines().skip(d.position().line() - 1L).findFirst().orElse("");
                if (d.arguments().size() != 1) {
                    problems.add(new Problem(d.position(), "include takes exactly one argument", lineText));
                } else {
                    resolveInclude(d.arguments().get(0), lineText)
                            .forEach(f -> expanded.addAll(loadFile(relativeToGivenFolder(f), d.position(), lineText)));
                }
            }
        }
        return expanded;
    }

    private Path relativeToGivenFolder(Path file) {
        return file.startsWith(mainFolder) ? mainFolderAsGiven.resolve(mainFolder.relativize(file)) : file;
    }

    private List<Path> resolveInclude(Word name, String lineText) {
        Path path = mainFolder.resolve(name.text());
        if (!name.text().matches(".*[*?\\[].*")) {
            return List.of(path);
        }
        List<Path> found = new ArrayList<>(List.of(path.getRoot()));
        for (Path part : path) {
            found = part.toString().matches(".*[*?\\[].*")
                    ? matchGlob(found, part.toString(), name, lineText)
                    : found.stream()
                            .map(p -> p.resolve(part))
                            .filter(Files::exists)
                            .toList();
        }
        return found.stream().filter(Files::isRegularFile).toList();
    }

    private List<Path> matchGlob(List<Path> folders, String glob, Word name, String lineText) {
        List<Path> found = new ArrayList<>();
        for (Path folder : folders) {
            if (!Files.isDirectory(folder)) {
                continue;
            }
            try (DirectoryStream<Path> stream = Files.newDirectoryStream(folder, glob)) {
                List<Path> matches = new ArrayList<>();
                stream.forEach(matches::add);
                // A wildcard does not match a leading dot.
                matches.removeIf(p -> p.getFileName().toString().startsWith(".") && !glob.startsWith("."));
                matches.sort(null);
                found.addAll(matches);
            } catch (IOException | UncheckedIOException | PatternSyntaxException e) {
                problems.add(new Problem(
                        name.position(), "folder cannot be listed: " + folder + " (" + e.getMessage() + ")", lineText));
            }
        }
        return found;
    }
}
