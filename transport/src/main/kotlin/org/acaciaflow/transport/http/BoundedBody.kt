package org.acaciaflow.transport.http

import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.port.BodyPart
import org.acaciaflow.state.bytes.concatenate

/** The result of reading a whole body into memory. */
internal sealed interface BoundedBody {
    data class Whole(
        val bytes: ByteString,
    ) : BoundedBody

    /** The body exceeds the limit; the rest was not read. */
    data object TooLarge : BoundedBody

    data object Broken : BoundedBody
}

/** Reads the body into memory unless it exceeds [limit] bytes. */
internal suspend fun BodyChannel.readWhole(limit: Int): BoundedBody {
    val parts = mutableListOf<ByteString>()
    var size = 0L
    while (true) {
        when (val part = next()) {
            is BodyPart.Data -> {
                size += part.bytes.size
                if (size > limit) return BoundedBody.TooLarge
                parts += part.bytes
            }

            BodyPart.End -> return BoundedBody.Whole(concatenate(parts))
            BodyPart.Broken -> return BoundedBody.Broken
        }
    }
}
