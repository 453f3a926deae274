package org.acaciaflow.coordination.relay

import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.bytestring.encodeToByteString
import org.acaciaflow.coordination.port.AttemptEvent
import org.acaciaflow.coordination.port.AttemptStream
import org.acaciaflow.coordination.port.BackendConnections
import org.acaciaflow.coordination.port.CacheSource
import org.acaciaflow.coordination.port.PrefillOutcome
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.coordination.port.WholeBody
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.work.AnswerHead
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How a backend server reacts to an attempt. */
internal sealed interface Reaction {
    data class Refuses(
        val reason: AttemptRefusal,
    ) : Reaction

    data class Answers(
        val status: Int,
    ) : Reaction

    data object BreaksConnection : Reaction

    /** Answers with success, which its server then contradicts. */
    data object ContradictsItself : Reaction

    data object StaysSilent : Reaction

    /** Fails with an exception of this process. */
    data object Throws : Reaction

    /** Answers with success, the end of which is held back for [time]. */
    data class Held(
        val time: Duration,
    ) : Reaction

    /**
     * Streams [parts], one every [gap], and then the end, or the last part again and again if [endless].
     *
     * If [breaks], the connection breaks in place of the end.
     */
    data class Paces(
        val parts: List<String>,
        val gap: Duration,
        val endless: Boolean,
        val breaks: Boolean = false,
        val status: Int = LetterFraming.STREAM_STATUS,
    ) : Reaction

    /** Passes on the parts of [reaction]; those from number [part] on, the head being 0, come [silence] later. */
    data class FallsSilent(
        val reaction: Reaction,
        val part: Int,
        val silence: Duration,
    ) : Reaction

    /** Streams all letters, whatever the last one received. */
    data object StartsOver : Reaction

    /** Streams the letters after the last one received; the connection breaks before [breakAt]. */
    data class Streams(
        val breakAt: Char?,
    ) : Reaction
}

/** Backend servers with scripted reactions; records every attempt and counts those that may have been executed. */
internal class ScriptedConnections(
    private val reactions: MutableList<Reaction>,
) : BackendConnections {
    val orders = mutableListOf<RunOrder>()
    val prefills = mutableListOf<RunOrder>()
    val released = mutableListOf<CacheSource>()

    /** How long each prefill takes, by its number; those without an entry take no time. */
    val prefillTimes = mutableListOf<Duration>()
    var prefill: PrefillOutcome? = null
    var mayHaveRun = 0
        private set

    override suspend fun open(
        order: RunOrder,
        body: WholeBody,
    ): AttemptStream {
        orders += order
        val reaction = if (reactions.isEmpty()) Reaction.Answers(OK) else reactions.removeAt(0)
        if (reaction !is Reaction.Refuses) mayHaveRun += 1
        return streamOf(reaction, order)
    }

    private fun streamOf(
        reaction: Reaction,
        order: RunOrder,
    ): AttemptStream =
        when (reaction) {
            is Reaction.Paces -> PacedStream(reaction)
            is Reaction.FallsSilent -> SilentStream(streamOf(reaction.reaction, order), reaction.part, reaction.silence)
            Reaction.Throws -> error("fault")
            is Reaction.Held -> HeldStream(ScriptedStream(eventsOf(Reaction.Answers(OK), order)), reaction.time)
            else -> ScriptedStream(eventsOf(reaction, order))
        }

    override suspend fun prefill(
        order: RunOrder,
        body: WholeBody,
    ): PrefillOutcome {
        prefills += order
        prefillTimes.getOrNull(prefills.size - 1)?.let { delay(it) }
        return prefill ?: PrefillOutcome.Ready(CacheSource(order.backend.address, "handle"), tokens = 1)
    }

    override fun release(cache: CacheSource) {
        released += cache
    }

    private fun eventsOf(
        reaction: Reaction,
        order: RunOrder,
    ): List<AttemptEvent> =
        when (reaction) {
            is Reaction.Refuses -> listOf(AttemptEvent.Refused(reaction.reason))
            is Reaction.Answers -> listOf(head(reaction.status), data("answer"), AttemptEvent.End)
            Reaction.BreaksConnection -> listOf(AttemptEvent.Broken(MayHaveRun.BACKEND_CRASHED))
            Reaction.ContradictsItself ->
                listOf(
                    head(OK),
                    data("wrong"),
                    AttemptEvent.Broken(MayHaveRun.ANSWER_CONTRADICTED),
                )
            Reaction.StaysSilent -> emptyList()
            is Reaction.Paces, is Reaction.Held, is Reaction.FallsSilent, Reaction.Throws ->
                error("its stream makes its own events")
            Reaction.StartsOver -> eventsOf(Reaction.Streams(breakAt = null), order.copy(resumeAfter = null))
            is Reaction.Streams -> listOf(head(LetterFraming.STREAM_STATUS)) + letters(reaction, order)
        }

    private fun letters(
        reaction: Reaction.Streams,
        order: RunOrder,
    ): List<AttemptEvent> {
        val first = order.resumeAfter?.let { 'a' + it.toInt() + 1 } ?: 'a'
        val last = reaction.breakAt ?: LAST_LETTER + 1
        val sent = (first until last).map { data(it.toString()) }
        val end = if (reaction.breakAt == null) AttemptEvent.End else AttemptEvent.Broken(MayHaveRun.BACKEND_CRASHED)
        return sent + end
    }

    private fun head(status: Int) = AttemptEvent.Head(AnswerHead(status, persistentListOf()))

    private fun data(text: String) = AttemptEvent.Data(text.encodeToByteString())

    companion object {
        const val OK = 200
        const val LAST_LETTER = 'h'
    }
}

private class ScriptedStream(
    private val events: List<AttemptEvent>,
) : AttemptStream {
    private val cancelled = CompletableDeferred<AttemptEvent>()
    private var next = 0

    override suspend fun next(): AttemptEvent {
        delay(1.milliseconds)
        return if (next < events.size) events[next++] else cancelled.await()
    }

    /** Ends a pending wait for the next event, as closing the connection does. */
    override fun cancel() {
        cancelled.complete(AttemptEvent.Broken(MayHaveRun.BACKEND_CRASHED))
    }
}

/** Passes on [stream]; its end comes after [time]. */
private class HeldStream(
    private val stream: AttemptStream,
    private val time: Duration,
) : AttemptStream by stream {
    private val cancelled = CompletableDeferred<Unit>()

    override var isHeld = false
        private set

    override suspend fun next(): AttemptEvent {
        val event = stream.next()
        if (event != AttemptEvent.End) return event
        isHeld = true
        val isCancelled = withTimeoutOrNull(time) { cancelled.await() } != null
        isHeld = false
        return if (isCancelled) AttemptEvent.Broken(MayHaveRun.BACKEND_CRASHED) else event
    }

    override fun cancel() {
        cancelled.complete(Unit)
        stream.cancel()
    }
}

/** Passes on [stream]; its parts from number [silentPart] on come [silence] later. */
private class SilentStream(
    private val stream: AttemptStream,
    private val silentPart: Int,
    private val silence: Duration,
) : AttemptStream by stream {
    private val cancelled = CompletableDeferred<Unit>()
    private var read = 0

    override suspend fun next(): AttemptEvent {
        if (read++ == silentPart) withTimeoutOrNull(silence) { cancelled.await() }
        return if (cancelled.isCompleted) AttemptEvent.Broken(MayHaveRun.BACKEND_CRASHED) else stream.next()
    }

    override fun cancel() {
        cancelled.complete(Unit)
        stream.cancel()
    }
}

private class PacedStream(
    private val paces: Reaction.Paces,
) : AttemptStream {
    private val cancelled = CompletableDeferred<AttemptEvent>()
    private var next = -1

    override suspend fun next(): AttemptEvent = withTimeoutOrNull(paces.gap) { cancelled.await() } ?: event()

    override fun cancel() {
        cancelled.complete(AttemptEvent.Broken(MayHaveRun.BACKEND_CRASHED))
    }

    private fun event(): AttemptEvent {
        val index = next++
        return when {
            index < 0 -> AttemptEvent.Head(AnswerHead(paces.status, persistentListOf()))
            index < paces.parts.size -> AttemptEvent.Data(paces.parts[index].encodeToByteString())
            paces.endless -> AttemptEvent.Data(paces.parts.last().encodeToByteString())
            paces.breaks -> AttemptEvent.Broken(MayHaveRun.BACKEND_CRASHED)
            else -> AttemptEvent.End
        }
    }
}
