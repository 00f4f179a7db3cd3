package gullspar.peers;

/** Receives the datagrams and view changes of {@link Peers}. Implementations must not call back into it. */
public interface Outbox {
    /** Sends to an address as its owner stated it; datagrams may be lost. */
    void send(String address, Message message);

    /** The view changed. */
    void onChange(Change change);
}
