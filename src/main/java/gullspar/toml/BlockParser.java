package gullspar.toml;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Parses successive versions of a text incrementally: the text is split at the headers of arrays of tables
 * ([[host]] at the beginning of a line), and a block that the previous text had is not parsed again. A text
 * that has errors, or could have another meaning in blocks than as a whole, is not read. Not thread-safe.
 */
public final class BlockParser {
    private static final Pattern HEADER = Pattern.compile("(?m)^\\[\\[([A-Za-z0-9_-]+)]][ \\t]*(?:#.*)?\r?$");

    private Map<String, TomlParseResult> cachedBlocks = new HashMap<>();

    /** Returns a reader of the root table; null if the text must be parsed as a whole. */
    public TableReader read(String text, List<Problem> problems) {
        if (text.contains("\"\"\"") || text.contains("'''")) {
            return null; // a header within a multi-line string is not a header
        }
        Map<String, TomlParseResult> currentBlocks = new HashMap<>();
        List<TableReader.Part> parts = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        Matcher m = HEADER.matcher(text);
        int start = 0;
        int line = 0;
        String header = null;
        boolean hasMore = true;
        while (hasMore) {
            hasMore = m.find();
            int end = hasMore ? m.start() : text.length();
            String block = text.substring(start, end);
            TomlParseResult t = currentBlocks.get(block);
            if (t == null) {
                t = cachedBlocks.get(block);
            }
            if (t == null) {
                t = Toml.parse(block);
            }
            if (t.hasErrors() || !isIndependent(t, header, seen)) {
                return null;
            }
            currentBlocks.put(block, t);
            parts.add(new TableReader.Part(t, line));
            line += (int) block.chars().filter(c -> c == '\n').count();
            start = end;
            header = hasMore ? m.group(1) : null;
        }
        cachedBlocks = currentBlocks;
        return new TableReader(parts, "", TomlPosition.positionAt(1, 1), problems);
    }

    /**
     * Returns whether the block shares no key with others, except elements of the array that it begins with. seen
     * collects the keys of all blocks; those of arrays of tables have the prefix [[.
     */
    private static boolean isIndependent(TomlTable t, String header, Set<String> seen) {
        for (String key : t.keySet()) {
            if (key.equals(header)) {
                if (seen.contains(key)) {
                    return false;
                }
                seen.add("[[" + key);
            } else if (!seen.add(key) || seen.contains("[[" + key)) {
                return false;
            }
        }
        return true;
    }
}
