package org.acaciaflow.protocol.frame

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.execution.SettleAnswer
import org.acaciaflow.coordination.port.AttemptOrder
import org.acaciaflow.state.backend.Availability
import org.acaciaflow.state.backend.LoadReport
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.parseProcessIdentity
import org.acaciaflow.state.record.StoredAnswer
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.sidecar.SidecarLoad
import org.acaciaflow.state.sidecar.SidecarPhase
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.state.work.HeaderField
import org.acaciaflow.state.work.RequestDigest
import kotlin.time.Duration.Companion.milliseconds

/** Encodes the order as the frame that starts an attempt. */
fun AttemptOrder.toFrame(
    buffered: ByteString,
    bodyWhole: Boolean,
): FrameBody.Open =
    FrameBody.Open(
        sidecar = sidecar.toString(),
        method = call.method,
        target = call.target,
        headers = call.headers.toWire(),
        rank = rank,
        atMostOnce = atMostOnce,
        alone = alone,
        digest = digest.hexadecimal,
        resumeFromToken = resumeFromToken,
        timeLeftMilliseconds = timeLeft.inWholeMilliseconds,
        buffered = buffered.toByteArray(),
        bodyWhole = bodyWhole,
    )

/** Decodes the order; null when the sidecar's identity is malformed. */
fun FrameBody.Open.toOrder(attempt: AttemptIdentity): AttemptOrder? {
    val process = parseProcessIdentity(sidecar) ?: return null
    return AttemptOrder(
        attempt = attempt,
        sidecar = process,
        call = CallHead(method, target, headers.toFields()),
        rank = rank,
        atMostOnce = atMostOnce,
        alone = alone,
        digest = RequestDigest(digest),
        resumeFromToken = resumeFromToken,
        timeLeft = timeLeftMilliseconds.milliseconds,
    )
}

/** Converts header fields to their wire form. */
fun List<HeaderField>.toWire(): List<WireHeader> = map { WireHeader(it.name, it.value) }

/** Converts header fields from their wire form. */
fun List<WireHeader>.toFields(): PersistentList<HeaderField> = map { HeaderField(it.name, it.value) }.toPersistentList()

/**
 * The load as reported to one gateway; [runningForReader] counts the exchanges that this gateway started.
 *
 * A sidecar that is reserved for a crash suspect reports a capacity of 0, to keep other work away.
 */
fun SidecarLoad.toWire(runningForReader: Int): WireLoad =
    WireLoad(
        phase = phase.toWire(),
        role = role,
        running = running.size,
        runningForReader = runningForReader,
        capacity = if (reserved) 0 else capacity,
        waitingPromptTokens = waitingPromptTokens,
    )

/** Converts the load from its wire form. */
fun WireLoad.toReport(): LoadReport =
    LoadReport(
        running = running,
        runningForReader = runningForReader,
        capacity = capacity,
        waitingPromptTokens = waitingPromptTokens,
    )

/** Maps a sidecar's phase to its availability for new attempts. */
fun WirePhase.toAvailability(): Availability =
    when (this) {
        WirePhase.SERVING -> Availability.Serving
        WirePhase.LEAVING -> Availability.Leaving
        WirePhase.BACKEND_DOWN -> Availability.BackendDown
        WirePhase.CHANGING -> Availability.Changing
    }

private fun SidecarPhase.toWire(): WirePhase =
    when (this) {
        SidecarPhase.Serving -> WirePhase.SERVING
        SidecarPhase.Leaving -> WirePhase.LEAVING
        SidecarPhase.BackendDown -> WirePhase.BACKEND_DOWN
        SidecarPhase.Changing -> WirePhase.CHANGING
    }

/**
 * Encodes the outcome of an attempt.
 *
 * [SettleAnswer.Unreachable] is never sent, since it stands for a sidecar that did not reply.
 */
fun SettleAnswer.toFrame(): FrameBody.Settled =
    when (this) {
        SettleAnswer.NeverStarted -> FrameBody.Settled(SettledOutcome.NEVER_STARTED)
        SettleAnswer.StillRunning, SettleAnswer.Unreachable -> FrameBody.Settled(SettledOutcome.STILL_RUNNING)
        is SettleAnswer.Completed -> FrameBody.Settled(SettledOutcome.COMPLETED, answer = answer?.toWire())
        is SettleAnswer.Broken -> FrameBody.Settled(SettledOutcome.BROKEN, reason = reason)
        SettleAnswer.Forgotten -> FrameBody.Settled(SettledOutcome.FORGOTTEN)
    }

/** Decodes the outcome of an attempt. A broken attempt without a reason counts as a lost link. */
fun FrameBody.Settled.toAnswer(): SettleAnswer =
    when (outcome) {
        SettledOutcome.NEVER_STARTED -> SettleAnswer.NeverStarted
        SettledOutcome.STILL_RUNNING -> SettleAnswer.StillRunning
        SettledOutcome.COMPLETED -> SettleAnswer.Completed(answer?.toStored())
        SettledOutcome.BROKEN -> SettleAnswer.Broken(reason ?: MayHaveRun.LINK_LOST)
        SettledOutcome.FORGOTTEN -> SettleAnswer.Forgotten
    }

private fun StoredAnswer.toWire(): WireAnswer = WireAnswer(status, headers.toWire(), body.toByteArray())

private fun WireAnswer.toStored(): StoredAnswer = StoredAnswer(status, headers.toFields(), ByteString(body))
