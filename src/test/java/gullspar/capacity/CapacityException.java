package gullspar.capacity;

/** Results, sizes or rows that cannot be used; the message says which file, where in it, and why. */
public final class CapacityException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public CapacityException(String message) {
        super(message);
    }
}
