package org.acaciaflow.coordination.gateway

import kotlinx.collections.immutable.PersistentList
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.state.work.AnswerHead

/** Finds the events in a streamed answer, in the encoding of the backend servers. */
interface StreamFraming {
    /** True when the answer is a sequence of events that can be resumed. */
    fun isEventStream(head: AnswerHead): Boolean

    /** Splits [bytes] into whole events and the incomplete rest. */
    fun split(bytes: ByteString): FramedEvents
}

/** Whole events and the bytes of the one that is not complete yet. */
data class FramedEvents(
    val events: PersistentList<StreamEvent>,
    val rest: ByteString,
)

/** One event; [identity] is its number if it has one, [isEndMark] tells that the stream is whole. */
data class StreamEvent(
    val bytes: ByteString,
    val identity: String?,
    val isEndMark: Boolean,
)
