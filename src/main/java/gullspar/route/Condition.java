package gullspar.route;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A condition of a route on a request, besides its host and path. */
public interface Condition {
    /**
     * Returns the groups of the regular expression, group 0 first, or an empty list if the condition has none;
     * null if the request does not match.
     */
    List<String> match(Request r);

    /**
     * A header with a value in which the pattern is found; if the pattern is null, with that value; if both are
     * null, with any value.
     */
    record Header(String name, String value, Pattern pattern) implements Condition {
        @Override
        public List<String> match(Request r) {
            List<String> values = r.headers().all(name);
            boolean matched = pattern != null
                    ? values.stream().anyMatch(v -> pattern.matcher(v).find())
                    : value == null ? !values.isEmpty() : values.contains(value);
            return matched ? List.of() : null;
        }

        @Override
        public String toString() {
            return name + (pattern != null ? " ~ " + pattern : value != null ? " = " + value : " is present");
        }
    }

    /** The expanded template equals a value; an empty value requires an empty text. */
    record TextEquals(Template template, String value) implements Condition {
        @Override
        public List<String> match(Request r) {
            return template.expand(r).equals(value) ? List.of() : null;
        }

        @Override
        public String toString() {
            return template + " = '" + value + "'";
        }
    }

    /** A regular expression is found in the expanded template. */
    record TextMatches(Template template, Pattern pattern) implements Condition {
        @Override
        public List<String> match(Request r) {
            Matcher m = pattern.matcher(template.expand(r));
            if (!m.find()) {
                return null;
            }
            List<String> groups = new ArrayList<>(m.groupCount() + 1);
            for (int i = 0; i <= m.groupCount(); i++) {
                groups.add(m.group(i) == null ? "" : m.group(i));
            }
            return groups;
        }

        @Override
        public String toString() {
            return template + " ~ " + pattern;
        }
    }

    /**
     * The hash of the expanded template lies between two bounds, in basis points of the hash range. The hash is
     * MurmurHash2 (A. Appleby, 2008, 32 bits, seed 0), as in split_clients of nginx, so that a client that
     * moves over from nginx keeps its share.
     */
    record HashShare(Template template, int fromBasisPoints, int toBasisPoints) implements Condition {
        @Override
        public List<String> match(Request r) {
            long hash = murmur2(template.expand(r).getBytes(StandardCharsets.UTF_8)) & 0xffffffffL;
            return (fromBasisPoints == 0 || hash >= hashBound(fromBasisPoints))
                            && (toBasisPoints == 10_000 || hash < hashBound(toBasisPoints))
                    ? List.of()
                    : null;
        }

        private static long hashBound(int basisPoints) {
            return basisPoints * 0xffffffffL / 10_000;
        }

        @Override
        public String toString() {
            return template + " is in the share " + fromBasisPoints / 100.0 + " to " + toBasisPoints / 100.0 + " %";
        }

        static int murmur2(byte[] data) {
            int m = 0x5bd1e995;
            int h = data.length;
            int i = 0;
            for (; data.length - i >= 4; i += 4) {
                int k = data[i] & 255
                        | (data[i + 1] & 255) << 8
                        | (data[i + 2] & 255) << 16
                        | (data[i + 3] & 255) << 24;
                k *= m;
                k ^= k >>> 24;
                k *= m;
                h = h * m ^ k;
            }
            for (int remaining = data.length - i - 1; remaining >= 0; remaining--) {
                h ^= (data[i + remaining] & 255) << 8 * remaining;
            }
            if (i < data.length) {
                h *= m;
            }
            h ^= h >>> 13;
            h *= m;
            return h ^ h >>> 15;
        }
    }
}
