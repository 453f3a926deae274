package org.acaciaflow.transport.observation

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.acaciaflow.coordination.connection.AnswerContradiction
import org.acaciaflow.coordination.connection.AnswerOwner
import org.acaciaflow.coordination.connection.ConnectionCloseReason
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.event.EventLevel
import org.acaciaflow.coordination.port.CallerConnectionFailure
import org.acaciaflow.coordination.port.LoopSupervisor
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.relay.Decision
import org.acaciaflow.coordination.relay.TakeUpOutcome
import org.acaciaflow.coordination.retry.RetryReason
import org.acaciaflow.coordination.stream.OriginLookup
import org.acaciaflow.coordination.stream.StreamRecordOutcome
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.Refusal
import org.acaciaflow.state.work.Rank
import org.acaciaflow.transport.log.DecisionFormatter
import org.acaciaflow.transport.log.DecisionLog
import org.tinylog.kotlin.Logger
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant
import kotlin.time.toJavaDuration

/** Records metrics with Micrometer and logs events and decisions with tinylog. */
class MeteredObservations(
    private val registry: MeterRegistry,
    private val decisions: DecisionLog = DecisionLog(),
) : Observations {
    private val strayFrames = registry.counter(Meters.STRAY_FRAMES)
    private val heldBack = registry.counter(Meters.REQUESTS_HELD_BACK)
    private val heldAnswers = registry.timer(Meters.ANSWERS_HELD)
    private val unreadableNotices = registry.counter(Meters.NOTICES_UNREADABLE)

    // A registry lookup costs more than an increment, so meters are cached.
    private val counters = ConcurrentHashMap<CounterKey, Counter>()
    private val answerTimers = ConcurrentHashMap<Int, Timer>()

    override fun event(event: Event) {
        count(Meters.EVENTS, "kind", event.kind.name.lowercase())
        val text = "AF${event.kind.number} $event"
        when (event.kind.level) {
            EventLevel.INFORMATION -> Logger.info(text)
            EventLevel.WARNING -> Logger.warn(text)
            EventLevel.ERROR -> logError(event, text)
        }
    }

    override fun accepted(rank: Rank) = count(Meters.ACCEPTED, "rank", rank.name.lowercase())

    override fun delivered(rank: Rank) = count(Meters.DELIVERED, "rank", rank.name.lowercase())

    override fun refused(refusal: Refusal) = count(Meters.REFUSED, "reason", refusal.code)

    override fun attemptRefused(reason: AttemptRefusal) = count(Meters.ATTEMPTS_REFUSED, "reason", reason.code)

    override fun retried(reason: RetryReason) = count(Meters.RETRIED, "reason", reason.code)

    override fun takenUp(outcome: TakeUpOutcome) = count(Meters.STREAMS_TAKEN_UP, "outcome", outcome.code)

    override fun retryDenied(reason: RetryReason) = count(Meters.RETRIES_DENIED, "reason", reason.code)

    override fun answered(
        urgency: Int,
        elapsed: Duration,
    ) = answerTimers.computeIfAbsent(urgency) { createAnswerTimer(it) }.record(elapsed.toJavaDuration())

    override fun decided(decision: Decision) {
        if (decision is Decision.HeldBack) heldBack.increment()
        decisions.write(DecisionFormatter.format(decision))
    }

    /** Starts a loop of [supervisor] that writes queued decision lines to the log with the time of [clock]. */
    fun start(
        supervisor: LoopSupervisor,
        clock: Clock,
    ) = decisions.start(supervisor, clock)

    /** Writes the decision lines that are still queued at [now], before the process ends. */
    fun flush(now: Instant) = decisions.flush(now)

    override fun noticeUnreadable() = unreadableNotices.increment()

    override fun foreignAnswer(owner: AnswerOwner) = count(Meters.ANSWERS_FOREIGN, "owner", owner.code)

    override fun answerHeld(time: Duration) = heldAnswers.record(time.toJavaDuration())

    override fun answerContradicted(contradiction: AnswerContradiction) =
        count(Meters.ANSWERS_CONTRADICTED, "reason", contradiction.code)

    override fun connectionClosed(reason: ConnectionCloseReason) =
        count(Meters.CONNECTIONS_CLOSED, "reason", reason.code)

    override fun callerConnectionClosed(reason: Refusal) =
        count(Meters.CALLER_CONNECTIONS_CLOSED, "reason", reason.code)

    override fun callerConnectionFailed(reason: CallerConnectionFailure) =
        count(Meters.CALLER_CONNECTIONS_FAILED, "reason", reason.code)

    override fun storeFailed(reason: StoreFailure) = count(Meters.STORE_FAILURES, "reason", reason.code)

    override fun strayFrameDropped() = strayFrames.increment()

    override fun recordsHandled(
        outcome: StreamRecordOutcome,
        count: Int,
    ) = count(Meters.STREAM_RECORDS, "outcome", outcome.code, count)

    override fun originLookedUp(lookup: OriginLookup) = count(Meters.STREAM_ORIGINS, "result", lookup.code)

    private fun logError(
        event: Event,
        text: String,
    ) {
        when (event) {
            is Event.WorkerFailed -> Logger.error(event.cause, text)
            is Event.LoopFailed -> Logger.error(event.cause, text)
            else -> Logger.error(text)
        }
    }

    private fun count(
        meter: String,
        tag: String,
        value: String,
        amount: Int = 1,
    ) {
        val counter = counters.computeIfAbsent(CounterKey(meter, value)) { registry.counter(meter, tag, value) }
        counter.increment(amount.toDouble())
    }

    private fun createAnswerTimer(urgency: Int): Timer =
        Timer
            .builder(Meters.ANSWER_TIME)
            .tag("urgency", urgency.toString())
            .serviceLevelObjectives(*ANSWER_TIME_BOUNDS)
            .register(registry)

    private data class CounterKey(
        val meter: String,
        val value: String,
    )

    private companion object {
        /** Upper bounds of the latency histogram buckets, around the target latencies of routes. */
        val ANSWER_TIME_BOUNDS: Array<java.time.Duration> =
            longArrayOf(
                10,
                25,
                50,
                100,
                200,
                400,
                800,
                1600,
                3200,
                6400,
            ).map(java.time.Duration::ofMillis).toTypedArray()
    }
}
