package gullspar.proxy;

import io.netty.bootstrap.ChannelInitializerExtension;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/**
 * Adds a header to each request and response that a proxy process writes, with its number in the order of writing. The
 * numbers show which of two messages on different connections was sent first, however late they are read. Netty loads
 * this class in a process that was started with {@link #OPTION}.
 */
public final class SendOrder extends ChannelInitializerExtension {
    /** The option of the Java command that turns it on. */
    static final String OPTION = "-D" + EXTENSIONS_SYSTEM_PROPERTY + "=serviceload";

    static final String HEADER = "send-order";

    private static final AtomicLong LAST = new AtomicLong();

    @Override
    public void postInitializeClientChannel(Channel channel) {
        channel.pipeline().addFirst(new Numbering());
    }

    @Override
    public void postInitializeServerChildChannel(Channel channel) {
        channel.pipeline().addFirst(new Numbering());
    }

    /** The last handler before the socket: it sees encoded messages. */
    private static final class Numbering extends ChannelOutboundHandlerAdapter {
        private static final List<ByteBuf> HEAD_STARTS = Stream.of("HTTP/1.1 ", "GET ", "POST ")
                .map(start -> Unpooled.copiedBuffer(start, StandardCharsets.ISO_8859_1))
                .toList();

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            ctx.write(message instanceof ByteBuf bytes && isHead(bytes) ? numbered(ctx, bytes) : message, promise);
        }

        private static boolean isHead(ByteBuf bytes) {
            for (ByteBuf start : HEAD_STARTS) {
                int length = start.readableBytes();
                if (bytes.readableBytes() > length
                        && ByteBufUtil.equals(bytes, bytes.readerIndex(), start, 0, length)) {
                    return true;
                }
            }
            return false;
        }

        /** Adds the header after the first line. */
        private static ByteBuf numbered(ChannelHandlerContext ctx, ByteBuf bytes) {
            ByteBuf result = ctx.alloc().buffer();
            result.writeBytes(bytes, bytes.bytesBefore((byte) '\n') + 1);
            ByteBufUtil.writeAscii(result, HEADER + ": " + LAST.incrementAndGet() + "\r\n");
            result.writeBytes(bytes);
            bytes.release();
            return result;
        }
    }
}
