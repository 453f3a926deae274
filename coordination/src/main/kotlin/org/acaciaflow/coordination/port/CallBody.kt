package org.acaciaflow.coordination.port

import kotlinx.io.bytestring.ByteString

/**
 * Body of a call. The [buffered] first part can be sent again; the rest can be read only once, with back-pressure.
 */
interface CallBody {
    val buffered: ByteString

    /** True when [buffered] is the complete body. */
    val whole: Boolean

    /** Waits for the next part after [buffered]. */
    suspend fun next(): BodyPart
}

/** Result of reading the next part of a body. */
sealed interface BodyPart {
    data class Data(
        val bytes: ByteString,
    ) : BodyPart

    data object End : BodyPart

    /** The sender disconnected or exceeded the body size limit. */
    data object Broken : BodyPart
}
