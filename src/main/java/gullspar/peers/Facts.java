package gullspar.peers;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Collections;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Data that other subsystems attach to a member, by name. Each fact has a version and bytes that only its subsystem
 * interprets: a member that does not know the name or the version passes it on unchanged, so that members of several
 * program versions do not lose each other's facts. The size of all facts of a member is bounded.
 */
public final class Facts {
    /** Limit on the names, versions and values of all facts of a member together. */
    public static final int MAX_BYTES = 256;
    /** Upper bound of the encoding around the name and value of a fact. */
    private static final int FACT_OVERHEAD_BYTES = 8;
    /** No facts. */
    public static final Facts NONE = new Facts(Map.of());

    /** One fact; the version determines the encoding of its bytes. */
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

    /** Throws an IllegalArgumentException if they exceed the limit, or a name or version is invalid. */
    public static Facts of(Map<String, Fact> facts) {
        Facts f = new Facts(facts);
        if (f.maxBytes > MAX_BYTES
                || !facts.keySet().stream().allMatch(Identity::isValidName)
                || facts.values().stream().anyMatch(v -> v.version < 0)) {
            throw new IllegalArgumentException(
                    "facts of " + f.maxBytes + " bytes, maximum " + MAX_BYTES + ", or an invalid name or version");
        }
        return f;
    }

    /** Returns a copy with that fact added or replaced. */
    public Facts with(String name, int version, byte[] value) {
        Map<String, Fact> more = new TreeMap<>(facts);
        more.put(name, new Fact(version, value));
        return of(more);
    }

    /** Returns a copy with a number added or replaced. */
    public Facts with(String name, int version, long value) {
        return with(
                name, version, ByteBuffer.allocate(Long.BYTES).putLong(value).array());
    }

    /** Returns a copy without that fact. */
    public Facts without(String name) {
        Map<String, Fact> less = new TreeMap<>(facts);
        less.remove(name);
        return of(less);
    }

    /** Returns a number of that version or a lower one; empty if it is absent, newer, or not a number. */
    public OptionalLong number(String name, int version) {
        Fact f = facts.get(name);
        return f == null || f.version > version || f.value.length != Long.BYTES
                ? OptionalLong.empty()
                : OptionalLong.of(ByteBuffer.wrap(f.value).getLong());
    }

    /** All facts, by name. */
    public Map<String, Fact> all() {
        return facts;
    }

    /** Upper bound of the encoded facts, in bytes. */
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
