package gullspar.scale;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import java.util.stream.Collectors;

/** The list of backends as discovery holds it, with the version of each entry's last change. */
final class BackendList {
    static final int ZONES = 8;

    private record Entry(String json, long version, boolean terminated) {}

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final IntFunction<String> addresses;
    private long version = 1;
    private byte[] fullList;

    /** Creates a list of {@code count} backends in service; {@code addresses} gives the address by number. */
    BackendList(int count, IntFunction<String> addresses) {
        this.addresses = addresses;
        for (int i = 0; i < count; i++) {
            put(i, "in_service", 1.0);
        }
    }

    long version() {
        return version;
    }

    private String put(int number, String lifecycle, double weight) {
        String id = "s-" + Integer.toHexString(0x5be20000 + number);
        String text = "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + addresses.apply(number)
                + "\",\"zone\":\"z" + number % ZONES + "\",\"machineType\":\"usual\",\"cell\":" + number % 40
                + ",\"lifecycle\":\"" + lifecycle + "\",\"weight\":" + weight + ",\"startedAtMs\":0}";
        fullList = null;
        entries.put(id, new Entry(text, version, lifecycle.equals("terminated")));
        return text;
    }

    /** Marks a backend in service or terminated and returns the line that announces the change. */
    byte[] setPresent(int number, boolean present) {
        version++;
        return line(version, false, List.of(put(number, present ? "in_service" : "terminated", 1.0)));
    }

    /** Sets the weight of the first {@code count} backends and returns the line that announces it. */
    byte[] setWeights(int count, double weight) {
        version++;
        return line(
                version,
                false,
                java.util.stream.IntStream.range(0, count)
                        .mapToObj(i -> put(i, "in_service", weight))
                        .toList());
    }

    /** Returns the line with all backends in service; it resets the list of the receiver. */
    byte[] fullList() {
        if (fullList == null) {
            fullList = line(
                    version,
                    true,
                    entries.values().stream()
                            .filter(e -> !e.terminated)
                            .map(Entry::json)
                            .toList());
        }
        return fullList;
    }

    /** Returns the line with all entries that changed after the given version. */
    byte[] changesSince(long afterVersion) {
        return line(
                version,
                false,
                entries.values().stream()
                        .filter(e -> e.version > afterVersion)
                        .map(Entry::json)
                        .toList());
    }

    private static byte[] line(long version, boolean reset, Collection<String> list) {
        return (list.stream()
                        .collect(Collectors.joining(
                                ",",
                                "{\"generation\":" + version + ",\"reset\":" + reset + ",\"instances\":[",
                                "]}\n")))
                .getBytes(StandardCharsets.US_ASCII);
    }
}
