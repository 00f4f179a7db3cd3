package gullspar.route;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What a request must be like for a route, besides its host and place. */
public interface Condition {
    /**
     * What a regular expression caught, group 0 first, an empty list where there is none; null if the request
     * does not fit.
     */
    List<String> match(Request r);

    /** A header: there, of a value, or with a regular expression found in one of its values. */
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
            return name + (pattern != null ? " ~ " + pattern : value != null ? " = " + value : " is there");
        }
    }

    /** A text made of the request is of a value, or empty where that is empty. */
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

    /** A regular expression is found in a text made of the request. */
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
     * A text made of the request is one of a share: its hash lies from one part to another, in hundredths of
     * a percent of all. The hash is MurmurHash2 (A. Appleby, 2008, 32 bits, seed 0), as split_clients of
     * nginx has it, so that a client stays where it was.
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
            return template + " is of " + fromBasisPoints / 100.0 + " to " + toBasisPoints / 100.0 + " %";
        }

        /** MurmurHash2 of 32 bits with seed 0. */
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
