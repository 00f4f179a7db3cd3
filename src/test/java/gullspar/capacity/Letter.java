package gullspar.capacity;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;

/** The sizes and limits that the design is held to, by name. */
final class Letter {
    /** One size or limit. */
    record Given(double value, String unit, String what) {}

    private final Map<String, Given> all;

    private Letter(Map<String, Given> all) {
        this.all = all;
    }

    static Letter read(Path file) {
        TomlParseResult toml = toml(file);
        Map<String, Given> all = new LinkedHashMap<>();
        for (String table : toml.keySet()) {
            TomlTable t = toml.getTable(table);
            for (String key : t.keySet()) {
                TomlTable g = t.getTable(key);
                Object v = g.get("value");
                String what = g.getString("what");
                if (!(v instanceof Number n) || what == null) {
                    throw new CapacityException(file.getFileName() + ": " + key + " lacks value or what");
                }
                all.put(key, new Given(n.doubleValue(), g.getString("unit", () -> ""), what));
            }
        }
        return new Letter(all);
    }

    static TomlParseResult toml(Path file) {
        try {
            TomlParseResult toml = Toml.parse(file);
            if (toml.hasErrors()) {
                throw new CapacityException(
                        file.getFileName() + ":" + toml.errors().get(0));
            }
            return toml;
        } catch (IOException e) {
            throw new CapacityException(file + " cannot be read: " + e.getMessage());
        }
    }

    Map<String, Given> all() {
        return all;
    }

    boolean has(String name) {
        return all.containsKey(name);
    }

    Given get(String name) {
        Given g = all.get(name);
        if (g == null) {
            throw new CapacityException("letter.toml has no '" + name + "'");
        }
        return g;
    }

    double value(String name) {
        return get(name).value();
    }

    /** The same with another size of one thing. */
    Letter with(String name, double value) {
        Given old = get(name);
        Map<String, Given> other = new LinkedHashMap<>(all);
        other.put(name, new Given(value, old.unit(), old.what()));
        return new Letter(other);
    }
}
