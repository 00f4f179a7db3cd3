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
 * Reads a file and all that it includes. As nginx does: a relative name counts from the folder of the first
 * file, whichever file includes it; a name with a star, a question mark or brackets may fit no file or many,
 * which are read in the order of their names; any other name must be there. An include stays as a directive,
 * with what it brought in right behind it.
 */
public final class Loader {
    private static final long LARGEST_BYTES = 16L << 20;
    private static final int MOST_FILES = 10_000;

    private final Path folder;
    /** The folder as it was given: places name files in the way in which the first one was named. */
    private final Path given;

    private final List<Problem> problems;
    private final Deque<Path> open = new ArrayDeque<>();
    private int files;

    private Loader(Path file, List<Problem> problems) {
        this.folder = file.toAbsolutePath().getParent();
        this.given = file.getParent() == null ? Path.of("") : file.getParent();
        this.problems = problems;
    }

    /** The directives of a file and of all it includes; problems are added to the list. */
    public static List<Directive> load(Path file, List<Problem> problems) {
        return new Loader(file, problems).read(file, new SourceLocation(file, 1, 1), "");
    }

    private List<Directive> read(Path file, SourceLocation from, String line) {
        Path real = file.toAbsolutePath().normalize();
        if (open.contains(real)) {
            problems.add(new Problem(from, "a file that includes itself: " + file, line));
            return List.of();
        }
        if (++files > MOST_FILES) {
            problems.add(new Problem(from, "more than " + MOST_FILES + " files are included", line));
            return List.of();
        }
        String text;
        try {
            if (Files.size(real) > LARGEST_BYTES) {
                problems.add(new Problem(from, "larger than " + (LARGEST_BYTES >> 20) + " MiB: " + file, line));
                return List.of();
            }
            text = Files.readString(real);
        } catch (NoSuchFileException e) {
            problems.add(new Problem(from, "there is no such file: " + file, line));
            return List.of();
        } catch (CharacterCodingException e) {
            problems.add(new Problem(from, "not UTF-8: " + file, line));
            return List.of();
        } catch (IOException e) {
            problems.add(new Problem(from, "cannot be read: " + file + " (" + e.getMessage() + ")", line));
            return List.of();
        }
        open.push(real);
        List<Directive> whole = including(Parser.parse(text, file, problems), text);
        open.pop();
        return whole;
    }

    private List<Directive> including(List<Directive> directives, String text) {
        List<Directive> whole = new ArrayList<>();
        for (Directive d : directives) {
            if (d.block() != null) {
                whole.add(new Directive(d.name(), d.arguments(), including(d.block(), text), null));
                continue;
            }
            whole.add(d);
            if (d.is("include")) {
                String line =
                        text.lines().skip(d.place().line() - 1L).findFirst().orElse("");
                if (d.arguments().size() != 1) {
                    problems.add(new Problem(d.place(), "include takes one name", line));
                } else {
                    named(d.arguments().get(0), line).forEach(f -> whole.addAll(read(asGiven(f), d.place(), line)));
                }
            }
        }
        return whole;
    }

    private Path asGiven(Path f) {
        return f.startsWith(folder) ? given.resolve(folder.relativize(f)) : f;
    }

    private List<Path> named(Word name, String line) {
        Path path = folder.resolve(name.text());
        if (!name.text().matches(".*[*?\\[].*")) {
            return List.of(path);
        }
        List<Path> found = new ArrayList<>(List.of(path.getRoot()));
        for (Path part : path) {
            found = part.toString().matches(".*[*?\\[].*")
                    ? fitting(found, part.toString(), name, line)
                    : found.stream()
                            .map(p -> p.resolve(part))
                            .filter(Files::exists)
                            .toList();
        }
        return found.stream().filter(Files::isRegularFile).toList();
    }

    private List<Path> fitting(List<Path> folders, String glob, Word name, String line) {
        List<Path> found = new ArrayList<>();
        for (Path f : folders) {
            if (!Files.isDirectory(f)) {
                continue;
            }
            try (DirectoryStream<Path> stream = Files.newDirectoryStream(f, glob)) {
                List<Path> here = new ArrayList<>();
                stream.forEach(here::add);
                // A star does not stand for a dot at the beginning.
                here.removeIf(p -> p.getFileName().toString().startsWith(".") && !glob.startsWith("."));
                here.sort(null);
                found.addAll(here);
            } catch (IOException | UncheckedIOException | PatternSyntaxException e) {
                problems.add(new Problem(name.place(), "cannot be listed: " + f + " (" + e.getMessage() + ")", line));
            }
        }
        return found;
    }
}
