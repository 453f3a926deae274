package org.acaciaflow.coordination.port

import kotlinx.io.bytestring.ByteString

/** The complete body of a call; only a whole body can be sent to a backend server directly. */
class WholeBody internal constructor(
    val bytes: ByteString,
)

/** Returns the body if it has been received completely, and null otherwise. */
fun wholeBodyOf(body: CallBody): WholeBody? = if (body.whole) WholeBody(body.buffered) else null
