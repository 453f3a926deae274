package org.acaciaflow.coordination.relay

import kotlinx.collections.immutable.PersistentList
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.gateway.StreamEvent
import org.acaciaflow.coordination.gateway.StreamFraming
import org.acaciaflow.coordination.port.AttemptEvent
import org.acaciaflow.coordination.port.CallerWrite
import org.acaciaflow.state.bytes.concatenate
import kotlin.time.Clock

/**
 * Forwards the complete events of one attempt to the caller.
 *
 * The caller gets the head of the first attempt only; an attempt that resumes the stream adds only its events.
 */
internal class EventDelivery(
    private val run: RunInProgress,
    framing: StreamFraming,
    private val first: AttemptEvent.Head,
    private val start: StreamStart,
    private val clock: Clock,
) {
    private val tracker = run.tracker
    private val attempt = run.attempt
    private val exchange = run.request.exchange
    private val splitter = framing.newSplitter()

    /** True until the first event of an attempt that resumes the stream has been checked against the last one sent. */
    private var resuming = tracker.progress.begun

    /** True when the data received so far ends at an event boundary. */
    val endsAtEventBoundary: Boolean
        get() = splitter.incompleteSize == 0

    /** True once this attempt sent an event, comments aside. */
    var hasEvents = false
        private set

    /** Forwards the events that [bytes] complete and buffers the rest. */
    suspend fun forward(bytes: ByteString): Forwarded {
        val events = splitter.split(bytes)
        if (splitter.incompleteSize > MAXIMUM_EVENT_BYTES) return Forwarded.EventTooLarge
        if (!run.memory.covers(splitter.incompleteSize.toLong())) return Forwarded.MemorySpent
        // A comment is no answer yet.
        if (events.isEmpty() || (attempt.waitsForFormer && events.all { it.isComment })) return NO_PROGRESS
        val begunBefore = tracker.progress.begun
        if (resuming && events.any { !continues(it, run.order.resumeAfter) }) return Forwarded.OutOfOrder
        // The first part binds the stream to a software version, also if it is a comment.
        val isAdvance = { written: Forwarded -> written is Forwarded.Written && (written.progressed || !begunBefore) }
        return attempt.answer(isAdvance) { write(events) } ?: Forwarded.Superseded
    }

    private suspend fun write(events: PersistentList<StreamEvent>): Forwarded {
        when (begin()) {
            Begin.BEGUN -> Unit
            Begin.CALLER_GONE -> return Forwarded.CallerGone
            Begin.UNRECORDED -> return Forwarded.Unrecorded
        }
        val former = tracker.progress.lastEvent
        val last = events.lastOrNull { it.identity != null }?.identity
        val identified = events.all { it.isComment || it.isEndMark || it.identity != null }
        if (last != null) resuming = false
        if (events.any { !it.isComment }) hasEvents = true
        tracker.update {
            it.copy(
                begunAt = it.begunAt ?: clock.now(),
                origin = it.origin ?: first.origin,
                lastEvent = last ?: it.lastEvent,
                resumable = it.resumable && identified,
            )
        }
        return when (exchange.send(concatenate(events.map { it.bytes }))) {
            CallerWrite.WRITTEN -> Forwarded.Written(progressed = events.any { isProgress(it, former) })
            CallerWrite.CALLER_GONE -> Forwarded.CallerGone
        }
    }

    /** Sends the head of the first attempt to the caller, unless the caller has it. */
    private suspend fun begin(): Begin {
        if (tracker.progress.begun) return Begin.BEGUN
        if (!start.beforeFirstPart()) return Begin.UNRECORDED
        return when (exchange.begin(first.head)) {
            CallerWrite.WRITTEN -> Begin.BEGUN
            CallerWrite.CALLER_GONE -> Begin.CALLER_GONE
        }
    }

    /** Returns true if [event] can follow the event [former] in a stream whose identities increase. */
    private fun continues(
        event: StreamEvent,
        former: String?,
    ): Boolean {
        val identity = event.identity
        if (identity == null || former == null) return true
        val number = identity.toLongOrNull()
        val formerNumber = former.toLongOrNull()
        return if (number != null && formerNumber != null) number > formerNumber else identity != former
    }

    /** Comments, and events that repeat the identity [former], keep a stream alive without advancing it. */
    private fun isProgress(
        event: StreamEvent,
        former: String?,
    ): Boolean = !event.isComment && (event.identity == null || event.identity != former)

    /** Ends the caller's stream, which has begun; returns null if another attempt has superseded this one. */
    suspend fun end(): CallerWrite? = attempt.answer(isAdvance = { true }) { exchange.end() }

    /** Whether the caller's answer has begun. */
    private enum class Begin {
        BEGUN,
        CALLER_GONE,
        UNRECORDED,
    }

    private companion object {
        val NO_PROGRESS = Forwarded.Written(progressed = false)
        const val MAXIMUM_EVENT_BYTES = 256 * 1024 // an event holds a few tokens
    }
}

/** The result of forwarding a part of a stream. */
internal sealed interface Forwarded {
    /** The complete events were written; [progressed] tells whether any of them advanced the stream. */
    data class Written(
        val progressed: Boolean,
    ) : Forwarded

    data object CallerGone : Forwarded

    /** Another attempt answers the caller, so nothing was written. */
    data object Superseded : Forwarded

    /** The stream's origin could not be recorded, so that nothing of it may be forwarded. */
    data object Unrecorded : Forwarded

    /** An attempt that was to resume the stream sent events that the caller has already. */
    data object OutOfOrder : Forwarded

    /** There is no memory left for the event that is incomplete. */
    data object MemorySpent : Forwarded

    /** The stream has no event boundary within a reasonable size. */
    data object EventTooLarge : Forwarded
}
