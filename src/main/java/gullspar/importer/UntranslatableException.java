package gullspar.importer;

/**
 * Something of a directive has no counterpart; the message says what, and what to do where there is a way.
 */
final class UntranslatableException extends Exception {
    private static final long serialVersionUID = 1L;

    UntranslatableException(String reason) {
        super(reason);
    }
}
