package org.acaciaflow.transport.http

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.port.BodyPart
import org.acaciaflow.coordination.port.CallBody
import org.acaciaflow.state.bytes.concatenate
import kotlin.time.Duration

/** A caller's body: its start is buffered, the rest is streamed; more than [limitBytes] in total end it as broken. */
internal class VertxCallBody(
    private val channel: BodyChannel,
    start: BodyStart,
    private val limitBytes: Long,
) : CallBody {
    override val buffered: ByteString = start.bytes
    override val whole: Boolean = start.whole
    private var readBytes: Long = start.bytes.size.toLong()

    /** Discards the unread rest of the body once the call is answered. */
    fun discardRest() {
        if (!whole) channel.discard()
    }

    override suspend fun next(): BodyPart {
        val part = channel.next()
        if (part is BodyPart.Data) readBytes += part.bytes.size
        return if (readBytes > limitBytes) BodyPart.Broken else part
    }
}

/**
 * Buffers the start of a body, up to and including the first part that exceeds [bufferedBytes].
 *
 * Returns null if a part takes longer than [longestPause].
 */
internal suspend fun readStart(
    channel: BodyChannel,
    bufferedBytes: Long,
    longestPause: Duration,
): BodyStart? {
    var parts: PersistentList<ByteString> = persistentListOf()
    var size = 0L
    while (size <= bufferedBytes) {
        when (val part = withTimeoutOrNull(longestPause) { channel.next() } ?: return null) {
            is BodyPart.Data -> {
                parts = parts.add(part.bytes)
                size += part.bytes.size
            }

            BodyPart.End -> {
                return BodyStart(concatenate(parts), whole = true, broken = false)
            }

            BodyPart.Broken -> {
                return BodyStart(concatenate(parts), whole = false, broken = true)
            }
        }
    }
    return BodyStart(concatenate(parts), whole = false, broken = false)
}
