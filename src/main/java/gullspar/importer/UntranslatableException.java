package gullspar.importer;

/** Part of a directive has no counterpart. The message names the part and, if there is one, an alternative. */
final class UntranslatableException extends Exception {
    private static final long serialVersionUID = 1L;

    UntranslatableException(String reason) {
        super(reason);
    }
}
