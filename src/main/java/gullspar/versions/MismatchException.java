package gullspar.versions;

/** A text or delta does not match the version it claims to be. */
public final class MismatchException extends Exception {
    private static final long serialVersionUID = 1L;

    public MismatchException(String message) {
        super(message);
    }
}
