package gullspar.rehearse.record;

/**
 * One line of a decision log: when (ns from the start), which proxy and life, and what. Decisions begin with
 * a capital letter, what the module was told with a small one.
 */
record Entry(long at, String who, String text) {
    /** Null if the line is none. */
    static Entry parse(String line) {
        String[] parts = line.split(" ", 3);
        if (parts.length < 3 || parts[2].isEmpty() || !parts[0].matches("\\d{1,18}")) {
            return null;
        }
        return new Entry(Long.parseLong(parts[0]), parts[1], parts[2]);
    }

    String what() {
        int space = text.indexOf(' ');
        return space < 0 ? text : text.substring(0, space);
    }

    boolean decision() {
        return Character.isUpperCase(text.charAt(0));
    }

    /** The value of name=value; "" if it is not there. */
    String field(String name) {
        int i = text.indexOf(' ' + name + '=');
        if (i < 0) {
            return "";
        }
        int from = i + name.length() + 2;
        int to = text.indexOf(' ', from);
        return text.substring(from, to < 0 ? text.length() : to);
    }

    String line() {
        return at + " " + who + " " + text;
    }
}
