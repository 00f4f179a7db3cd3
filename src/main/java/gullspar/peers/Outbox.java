package gullspar.peers;

/** Where a process's datagrams and the changes of its view go. Neither calls back into the machine. */
public interface Outbox {
    /** To an address as its owner told it; a datagram may get lost. */
    void send(String address, Message message);

    /** Something in the view is other than before. */
    void onChange(Change change);
}
