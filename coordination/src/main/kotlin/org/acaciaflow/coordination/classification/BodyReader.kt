package org.acaciaflow.coordination.classification

import kotlinx.io.bytestring.ByteString
import org.acaciaflow.state.work.CallHead

/** Reads what classification needs from a body, in the encoding of the front end. */
interface BodyReader {
    fun read(
        call: CallHead,
        body: ByteString,
    ): BodyFacts
}
