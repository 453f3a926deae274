package org.acaciaflow.coordination.gateway

import kotlinx.collections.immutable.PersistentList
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.state.work.AnswerHead

/** Splits a streamed answer into events according to the encoding of the backend servers. */
interface StreamFraming {
    /** Returns true if the answer is an event stream, whose body [split] can split. */
    fun isEventStream(head: AnswerHead): Boolean

    /** Splits [bytes] into complete events and the bytes of the incomplete event at the end. */
    fun split(bytes: ByteString): FramedEvents
}

/** Complete events, and the bytes received so far of the incomplete one after them. */
data class FramedEvents(
    val events: PersistentList<StreamEvent>,
    val rest: ByteString,
)

/**
 * One event of a stream.
 *
 * [identity] is its id if it has one, [isEndMark] marks the event that ends the stream, [isComment] one without data.
 */
data class StreamEvent(
    val bytes: ByteString,
    val identity: String?,
    val isEndMark: Boolean,
    val isComment: Boolean = false,
)
