package org.acaciaflow.coordination.gateway

import kotlinx.collections.immutable.PersistentList
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.state.work.AnswerHead

/** Finds the events of streamed answers according to the encoding of the backend servers. */
interface StreamFraming {
    /** Returns true if the answer is an event stream. */
    fun isEventStream(head: AnswerHead): Boolean

    /** Creates a splitter for the body of one event stream. */
    fun newSplitter(): EventSplitter
}

/** Splits the body of one event stream into events, as its parts arrive. */
interface EventSplitter {
    /** The bytes received so far of the event that is incomplete. */
    val incomplete: ByteString

    /** The size of [incomplete] in bytes, without a copy of it. */
    val incompleteSize: Int

    /** Returns the events that [bytes] complete. The work depends on the size of [bytes] alone. */
    fun split(bytes: ByteString): PersistentList<StreamEvent>
}

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
