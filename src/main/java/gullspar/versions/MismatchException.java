package gullspar.versions;

/** A text or a change that does not fit the version that it is said to be. */
public final class MismatchException extends Exception {
    private static final long serialVersionUID = 1L;

    public MismatchException(String what) {
        super(what);
    }
}
