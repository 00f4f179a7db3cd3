package gullspar.peers;

/**
 * One process of a member: the name stays over restarts, the life is drawn anew at each start (64 random
 * bits). So a process that comes back is another one, whatever became of its disk and its clock, and no
 * rumor of its former life can be taken for one of this.
 */
public record Identity(String name, long life) implements Comparable<Identity> {
    /** Names, zones and versions: this much at the most, of letters, digits and a few signs. */
    public static final int MAX_LENGTH = 32;

    public Identity {
        if (!isValidName(name)) {
            throw new IllegalArgumentException("not a name: " + name);
        }
    }

    /** May this be a name? 1 to 32 of letters, digits and . _ - : all of one byte, so sizes are known. */
    public static boolean isValidName(String text) {
        return !text.isEmpty() && isValidText(text);
    }

    /** As a name, and may be empty. */
    static boolean isValidText(String text) {
        if (text.length() > MAX_LENGTH) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            boolean fits = c >= 'a' && c <= 'z'
                    || c >= 'A' && c <= 'Z'
                    || c >= '0' && c <= '9'
                    || c == '.'
                    || c == '_'
                    || c == '-'
                    || c == '+';
            if (!fits) {
                return false;
            }
        }
        return true;
    }

    /** By life, as an unsigned number: lives are spread evenly, so ranges of them hold about as many. */
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
