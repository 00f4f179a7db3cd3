package gullspar.rehearse.net;

import io.netty.channel.ChannelId;

/** A sequential channel id: Netty's own ids contain the host, the process and a random part, so they vary by run. */
record MemoryChannelId(int number) implements ChannelId {
    private static final long serialVersionUID = 1L;

    @Override
    public String asShortText() {
        return Integer.toString(number);
    }

    @Override
    public String asLongText() {
        return asShortText();
    }

    @Override
    public int compareTo(ChannelId o) {
        return o instanceof MemoryChannelId m
                ? Integer.compare(number, m.number)
                : asLongText().compareTo(o.asLongText());
    }
}
