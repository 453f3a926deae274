package org.acaciaflow.transport.http

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.streams.ReadStream
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.yield
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.port.BodyPart

/**
 * Reads a paused Vert.x stream part by part; each part is fetched on demand, which gives back-pressure.
 *
 * Vert.x reports that a connection has closed before it delivers what had arrived, the end included, so that is fetched
 * first. An end for which [endsWhole] is false is a break.
 */
internal class BodyChannel(
    private val stream: ReadStream<Buffer>,
    private val endsWhole: () -> Boolean = { true },
) {
    private val parts = Channel<BodyPart>(Channel.UNLIMITED)

    @Volatile
    private var discarding = false

    init {
        stream.handler { if (!discarding) parts.trySend(BodyPart.Data(it.toByteString())) }
        stream.endHandler { parts.trySend(if (endsWhole()) BodyPart.End else BodyPart.Broken) }
        stream.exceptionHandler { breakOff() }
    }

    private var partsInTurn = 0

    /** Ends the body behind the parts that have arrived, which Vert.x delivers in a later turn of the event loop. */
    private fun breakOff() {
        stream.resume()
        val context = Vertx.currentContext()
        if (context == null) abort() else context.runOnContext { abort() }
    }

    /** Waits for the next part; gives way to other work of its thread after each [PARTS_PER_TURN] parts. */
    suspend fun next(): BodyPart {
        partsInTurn += 1
        if (partsInTurn > PARTS_PER_TURN) {
            yield() // parts that have arrived are read without suspending, which could occupy an event loop
            partsInTurn = 1
        }
        val buffered = parts.tryReceive().getOrNull()
        if (buffered != null) return buffered
        stream.fetch(1)
        return parts.receive()
    }

    /** Discards the rest of the stream, so that the sender isn't blocked by back-pressure. */
    fun discard() {
        discarding = true
        stream.resume()
    }

    /** Lets the rest of the stream arrive although nobody reads it, so that it no longer pauses its connection. */
    fun letArrive() {
        stream.resume()
    }

    /** Ends the body with [BodyPart.Broken], which wakes a reader that waits in [next]. */
    fun abort() {
        parts.trySend(BodyPart.Broken)
    }

    private companion object {
        const val PARTS_PER_TURN = 64
    }
}

/** The buffered start of a body; [whole] when it is the complete body, [broken] when the sender disconnected. */
internal data class BodyStart(
    val bytes: ByteString,
    val whole: Boolean,
    val broken: Boolean,
) {
    companion object {
        /** The start of a body that is not read, since its call is refused. */
        val UNREAD = BodyStart(ByteString(), whole = false, broken = false)
    }
}
