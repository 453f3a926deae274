package org.acaciaflow.transport.link

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.io.IOException
import org.acaciaflow.coordination.event.FrameFault
import org.acaciaflow.protocol.frame.DecodedFrame
import org.acaciaflow.protocol.frame.Envelope
import org.acaciaflow.protocol.frame.FrameCodec
import java.util.concurrent.atomic.AtomicLong

/** Sends and receives frames over one TCP connection, each prefixed with its length in bytes as a 32-bit integer. */
internal class FrameConnection(
    private val socket: Socket,
) : AutoCloseable {
    private val input: ByteReadChannel = socket.openReadChannel()
    private val output: ByteWriteChannel = socket.openWriteChannel(autoFlush = false)
    private val outgoing = Channel<Envelope>(Channel.UNLIMITED)
    private val receivedFrames = AtomicLong()

    /** Number of frames received so far; [HeartbeatMonitor] closes the link when it stops increasing. */
    val receivedFrameCount: Long
        get() = receivedFrames.get()

    /** Starts the connection's single writer coroutine. */
    fun start(scope: CoroutineScope) {
        scope.launch { write() }
    }

    /** Queues a frame; false when the connection is closed. The windows of the streams bound the queue's length. */
    fun send(envelope: Envelope): Boolean = outgoing.trySend(envelope).isSuccess

    /** Waits for the next frame; [ReceivedFrame.Ended] when the connection is closed or fails. */
    suspend fun receive(): ReceivedFrame =
        try {
            val length = input.readInt()
            receivedFrames.incrementAndGet()
            if (length in 1..FrameCodec.MAXIMUM_FRAME_BYTES) {
                toReceivedFrame(FrameCodec.decode(input.readByteArray(length)))
            } else {
                ReceivedFrame.Faulty(FrameFault.TOO_LONG)
            }
        } catch (_: IOException) {
            ReceivedFrame.Ended
        } catch (_: CancellationException) {
            currentCoroutineContext().ensureActive()
            ReceivedFrame.Ended
        }

    override fun close() {
        outgoing.close()
        socket.close()
    }

    private fun toReceivedFrame(decoded: DecodedFrame): ReceivedFrame =
        when (decoded) {
            is DecodedFrame.Faulty -> ReceivedFrame.Faulty(decoded.fault)
            is DecodedFrame.Frame -> ReceivedFrame.Frame(decoded.envelope)
        }

    private suspend fun write() {
        try {
            for (envelope in outgoing) {
                writeFrame(envelope)
                writeQueued()
                output.flush()
            }
        } catch (_: IOException) {
            close()
        }
    }

    /** Writes the frames that are already queued, so that one flush covers several frames. */
    private suspend fun writeQueued() {
        while (true) {
            val next = outgoing.tryReceive().getOrNull() ?: return
            writeFrame(next)
        }
    }

    private suspend fun writeFrame(envelope: Envelope) {
        val bytes = FrameCodec.encode(envelope)
        output.writeInt(bytes.size)
        output.writeByteArray(bytes)
    }
}

/** Result of receiving from a [FrameConnection]. */
internal sealed interface ReceivedFrame {
    data class Frame(
        val envelope: Envelope,
    ) : ReceivedFrame

    data class Faulty(
        val fault: FrameFault,
    ) : ReceivedFrame

    data object Ended : ReceivedFrame
}
