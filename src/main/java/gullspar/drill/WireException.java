package gullspar.drill;

/** Input that is not the wire; the message is one plain line. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
