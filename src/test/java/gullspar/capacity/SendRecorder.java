package gullspar.capacity;

import gullspar.decide.Balancer;

/** Ignores the module's actions apart from counting sends and refusals and keeping the last server. */
final class SendRecorder implements Balancer.Actions {
    int lastServer;
    int sends;
    int refused;

    @Override
    public void send(int ticket, int to, long timeoutNs) {
        lastServer = to;
        sends++;
    }

    @Override
    public void refuse(int ticket, long retryInNs) {
        refused++;
    }

    @Override
    public void fail(int ticket) {
        refused++;
    }

    @Override
    public void cancel(int ticket, int attempt) {}

    @Override
    public void setTimer(long at, long token) {}

    @Override
    public void probe(int to) {}

    @Override
    public void closeIdleConnections(int to) {}

    @Override
    public void sendToPeer(int peer, byte[] message) {}

    @Override
    public void log(String line) {}

    @Override
    public void subscribe(boolean on) {}

    @Override
    public void requestList() {}
}
