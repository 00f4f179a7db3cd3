package gullspar.proxy.config;

/** A 64-bit string hash that is the same in every process. */
public final class Fnv {
    private Fnv() {}

    /** FNV-1a with a final mixing step. */
    public static long hash(String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        h = (h ^ h >>> 32) * 0x9e3779b97f4a7c15L;
        return h ^ h >>> 29;
    }
}
