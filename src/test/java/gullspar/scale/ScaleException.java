package gullspar.scale;

/** Ends a scale run with a one-line message and an exit code. */
final class ScaleException extends Exception {
    private static final long serialVersionUID = 1L;
    static final int USAGE = 2, MEMORY = 3, PORT = 4, CHILD = 5, COUNT = 6, TIME = 7;

    final int code;

    ScaleException(int code, String message) {
        super(message);
        this.code = code;
    }
}
