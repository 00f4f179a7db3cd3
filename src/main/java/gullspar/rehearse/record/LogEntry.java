package gullspar.rehearse.record;

/**
 * One line of a decision log: the time in ns from the start, the proxy process, and the event with its
 * values. The names of decisions begin with a capital letter, those of inputs with a small one.
 */
record LogEntry(long atNs, String process, String text) {
    /** Returns null if the line is malformed. */
    static LogEntry parse(String line) {
        String[] parts = line.split(" ", 3);
        if (parts.length < 3 || parts[2].isEmpty() || !parts[0].matches("\\d{1,18}")) {
            return null;
        }
        return new LogEntry(Long.parseLong(parts[0]), parts[1], parts[2]);
    }

    String eventName() {
        int space = text.indexOf(' ');
        return space < 0 ? text : text.substring(0, space);
    }

    boolean isDecision() {
        return Character.isUpperCase(text.charAt(0));
    }

    /** The value of name=value; empty if it is absent. */
    String field(String name) {
        int index = text.indexOf(' ' + name + '=');
        if (index < 0) {
            return "";
        }
        int start = index + name.length() + 2;
        int end = text.indexOf(' ', start);
        return text.substring(start, end < 0 ? text.length() : end);
    }

    String toLine() {
        return atNs + " " + process + " " + text;
    }
}
