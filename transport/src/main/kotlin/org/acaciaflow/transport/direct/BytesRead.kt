package org.acaciaflow.transport.direct

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Counts the bytes that a connection brings, those behind an answer included; for use on its event loop. */
internal class BytesRead : ChannelInboundHandlerAdapter() {
    @Volatile
    var count = 0L
        private set

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (message is ByteBuf) count += message.readableBytes()
        context.fireChannelRead(message)
    }
}
