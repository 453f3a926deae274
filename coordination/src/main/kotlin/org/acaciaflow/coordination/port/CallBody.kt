package org.acaciaflow.coordination.port

import kotlinx.io.bytestring.ByteString

/**
 * Body of a call. The first part is [buffered] and can be sent again; what follows is read once with back-pressure.
 */
interface CallBody {
    val buffered: ByteString

    /** True when [buffered] is the whole body. */
    val whole: Boolean

    /** The next part after [buffered]. */
    suspend fun next(): BodyPart
}

/** A step in reading a body. */
sealed interface BodyPart {
    data class Data(
        val bytes: ByteString,
    ) : BodyPart

    data object End : BodyPart

    /** The sender went away, or sent more than the stated limit. */
    data object Broken : BodyPart
}
