package org.acaciaflow.transport.direct

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames.CONTENT_LENGTH
import io.netty.handler.codec.http.HttpResponse
import org.acaciaflow.coordination.connection.SecondAnswerBodies
import org.acaciaflow.state.bytes.RunningFingerprint

/** Fingerprints the body of an answer while it arrives, unless it is long; for use on one event loop. */
internal class SmallBody(
    response: HttpResponse,
) {
    private val running = RunningFingerprint()

    /** True once the body is known to be longer than the bodies that are compared. */
    var isLong = (response.headers().get(CONTENT_LENGTH)?.toLongOrNull() ?: 0) > SecondAnswerBodies.MAXIMUM_BYTES
        private set

    /** The bytes of the body so far. */
    var length = 0L
        private set

    /** The fingerprint of the body so far; null if it is empty or long. */
    val fingerprint: Long?
        get() = if (isLong || running.size == 0) null else running.value()

    /** Adds the body part that [message] has, if any. */
    fun add(message: Any) {
        if (message !is HttpContent) return
        length += message.content().readableBytes()
        if (!isLong) add(message.content())
    }

    private fun add(part: ByteBuf) {
        isLong = running.size + part.readableBytes() > SecondAnswerBodies.MAXIMUM_BYTES
        if (!isLong && part.isReadable) running.add(part.nioBuffer())
    }
}
