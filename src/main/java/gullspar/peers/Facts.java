package gullspar.peers;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Collections;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * What further subsystems tell of a member, by name. Each fact has a version and bytes that only its
 * subsystem reads: whoever does not know a name, or knows a lower version, passes it on unread, so members
 * of several versions of the program do not lose each other's facts. All facts of a member fit into a
 * budget.
 */
public final class Facts {
    /** Names, versions and values of all facts together, in bytes. */
    public static final int MAX_BYTES = 256;
    /** For what stands round a fact on the wire. */
    private static final int FACT_OVERHEAD_BYTES = 8;
    /** Nothing told. */
    public static final Facts NONE = new Facts(Map.of());

    /** One fact; the version says how its bytes are to be read. */
    public record Fact(int version, byte[] value) {
        public Fact {
            value = value.clone();
        }

        @Override
        public byte[] value() {
            return value.clone();
        }

        @Override
        public boolean equals(Object o) {
            return o instanceof Fact f && f.version == version && Arrays.equals(f.value, value);
        }

        @Override
        public int hashCode() {
            return 31 * version + Arrays.hashCode(value);
        }
    }

    private final Map<String, Fact> facts;
    private final int maxBytes;

    private Facts(Map<String, Fact> facts) {
        this.facts = Collections.unmodifiableMap(new TreeMap<>(facts));
        this.maxBytes = facts.entrySet().stream()
                .mapToInt(f -> FACT_OVERHEAD_BYTES + f.getKey().length() + f.getValue().value.length)
                .sum();
    }

    /** An IllegalArgumentException if they do not fit, or a name cannot be one. */
    public static Facts of(Map<String, Fact> facts) {
        Facts f = new Facts(facts);
        if (f.maxBytes > MAX_BYTES
                || !facts.keySet().stream().allMatch(Identity::isValidName)
                || facts.values().stream().anyMatch(v -> v.version < 0)) {
            throw new IllegalArgumentException(
                    "facts of " + f.maxBytes + " bytes, of at most " + MAX_BYTES + ", or a name that cannot be");
        }
        return f;
    }

    /** The same with one more, or with another value of it. */
    public Facts with(String name, int version, byte[] value) {
        Map<String, Fact> more = new TreeMap<>(facts);
        more.put(name, new Fact(version, value));
        return of(more);
    }

    /** The same with a number. */
    public Facts with(String name, int version, long value) {
        return with(
                name, version, ByteBuffer.allocate(Long.BYTES).putLong(value).array());
    }

    /** The same without one. */
    public Facts without(String name) {
        Map<String, Fact> less = new TreeMap<>(facts);
        less.remove(name);
        return of(less);
    }

    /** A number of that version or a lower one; empty if it is not told, newer, or not a number. */
    public OptionalLong number(String name, int version) {
        Fact f = facts.get(name);
        return f == null || f.version > version || f.value.length != Long.BYTES
                ? OptionalLong.empty()
                : OptionalLong.of(ByteBuffer.wrap(f.value).getLong());
    }

    /** All, by name. */
    public Map<String, Fact> all() {
        return facts;
    }

    /** At most this many on the wire. */
    int maxBytes() {
        return maxBytes;
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof Facts f && f.facts.equals(facts);
    }

    @Override
    public int hashCode() {
        return facts.hashCode();
    }

    @Override
    public String toString() {
        return facts.keySet().toString();
    }
}
