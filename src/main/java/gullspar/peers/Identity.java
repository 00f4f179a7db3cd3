package gullspar.peers;

/**
 * One process of a member: the name is kept over restarts, the life is 64 random bits drawn at each start. A
 * restarted process is therefore a different one, whatever happened to its disk and clock, and no rumor of its former
 * life applies to it.
 */
public record Identity(String name, long life) implements Comparable<Identity> {
    /** The maximum length of names, zones and versions, in characters. */
    public static final int MAX_LENGTH = 32;

    public Identity {
        if (!isValidName(name)) {
            throw new IllegalArgumentException("invalid member name: " + name);
        }
    }

    /** Whether text is 1 to 32 letters, digits or . _ - + characters: each takes one byte, so sizes are known. */
    public static boolean isValidName(String text) {
        return !text.isEmpty() && isValidText(text);
    }

    /** As {@link #isValidName}, but text may be empty. */
    static boolean isValidText(String text) {
        if (text.length() > MAX_LENGTH) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            boolean allowed = c >= 'a' && c <= 'z'
                    || c >= 'A' && c <= 'Z'
                    || c >= '0' && c <= '9'
                    || c == '.'
                    || c == '_'
                    || c == '-'
                    || c == '+';
            if (!allowed) {
                return false;
            }
        }
        return true;
    }

    /** By life, unsigned: lives are random, so equal ranges of them hold about equally many members. */
    @Override
    public int compareTo(Identity o) {
        int order = Long.compareUnsigned(life, o.life);
        return order != 0 ? order : name.compareTo(o.name);
    }

    @Override
    public String toString() {
        return name + '/' + Long.toHexString(life);
    }
}
