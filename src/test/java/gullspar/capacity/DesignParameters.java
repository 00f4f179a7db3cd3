package gullspar.capacity;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;

/** The sizes and limits that the design has to meet, by name. */
final class DesignParameters {
    /** One size or limit. */
    record Parameter(double value, String unit, String description) {}

    private final Map<String, Parameter> all;

    private DesignParameters(Map<String, Parameter> all) {
        this.all = all;
    }

    static DesignParameters read(Path file) {
        TomlParseResult document = parseToml(file);
        Map<String, Parameter> all = new LinkedHashMap<>();
        for (String section : document.keySet()) {
            TomlTable parameters = document.getTable(section);
            for (String key : parameters.keySet()) {
                TomlTable parameter = parameters.getTable(key);
                Object value = parameter.get("value");
                String description = parameter.getString("what");
                if (!(value instanceof Number number) || description == null) {
                    throw new CapacityException(
                            file.getFileName() + ": " + key + " needs a number as value and a text as what");
                }
                all.put(key, new Parameter(number.doubleValue(), parameter.getString("unit", () -> ""), description));
            }
        }
        return new DesignParameters(all);
    }

    static TomlParseResult parseToml(Path file) {
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

    Map<String, Parameter> all() {
        return all;
    }

    boolean has(String name) {
        return all.containsKey(name);
    }

    Parameter get(String name) {
        Parameter parameter = all.get(name);
        if (parameter == null) {
            throw new CapacityException("letter.toml has no '" + name + "'");
        }
        return parameter;
    }

    double value(String name) {
        return get(name).value();
    }

    /** Returns a copy with another value of one parameter. */
    DesignParameters with(String name, double value) {
        Parameter current = get(name);
        Map<String, Parameter> changed = new LinkedHashMap<>(all);
        changed.put(name, new Parameter(value, current.unit(), current.description()));
        return new DesignParameters(changed);
    }
}
