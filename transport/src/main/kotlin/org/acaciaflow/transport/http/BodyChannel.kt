package org.acaciaflow.transport.http

import io.vertx.core.buffer.Buffer
import io.vertx.core.streams.ReadStream
import kotlinx.coroutines.channels.Channel
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.port.BodyPart

/** Reads a paused Vert.x stream part by part; each part is asked for only when it is wanted. */
internal class BodyChannel(
    private val stream: ReadStream<Buffer>,
) {
    private val arrived = Channel<BodyPart>(Channel.UNLIMITED)

    @Volatile
    private var discarding = false

    init {
        stream.handler { if (!discarding) arrived.trySend(BodyPart.Data(it.toByteString())) }
        stream.endHandler { arrived.trySend(BodyPart.End) }
        stream.exceptionHandler { arrived.trySend(BodyPart.Broken) }
    }

    suspend fun next(): BodyPart {
        val ready = arrived.tryReceive().getOrNull()
        if (ready != null) return ready
        stream.fetch(1)
        return arrived.receive()
    }

    /** Reads and drops what is still to come, so that a sender that nobody listens to is not left waiting. */
    fun discard() {
        discarding = true
        stream.resume()
    }

    /** Makes a reader that waits see a break. */
    fun broke() {
        arrived.trySend(BodyPart.Broken)
    }
}

/** A body that was read up to a limit: its start and whether that is all of it. */
internal data class BodyStart(
    val bytes: ByteString,
    val whole: Boolean,
    val broken: Boolean,
)
