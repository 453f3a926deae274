package org.acaciaflow.coordination.classification

import kotlinx.io.bytestring.ByteString
import org.acaciaflow.state.work.CallHead

/** Extracts from a body, in the encoding of the front end, what classification needs. */
interface BodyReader {
    fun read(
        call: CallHead,
        body: ByteString,
    ): BodyFacts
}
