package gullspar.proxy.io;

/** Where a proxy's own words go, a line each. */
public interface Log {
    void say(String line);

    /** One line on standard error, with Unix time in ms ahead. */
    static Log standardError() {
        return line -> System.err.println(System.currentTimeMillis() + " " + line);
    }
}
