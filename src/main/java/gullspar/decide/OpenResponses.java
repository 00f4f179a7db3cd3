package gullspar.decide;

/**
 * The responses that are still being received after their attempt has ended; they occupy their servers.
 */
final class OpenResponses {
    private final IntMap<Server> serverByTicket = new IntMap<>();

    /** Adds a response; server is null if it is no longer listed. */
    void add(int ticket, Server server) {
        if (server != null && serverByTicket.get(ticket) == null) {
            server.openResponses++;
            serverByTicket.put(ticket, server);
        }
    }

    /** Removes a response that has ended, if it was added. */
    void remove(int ticket) {
        Server server = serverByTicket.get(ticket);
        if (server != null) {
            server.openResponses--;
            serverByTicket.remove(ticket);
        }
    }
}
