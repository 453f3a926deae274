package org.acaciaflow.coordination.execution

import org.acaciaflow.coordination.port.KeyValueStore
import org.acaciaflow.coordination.port.VersionedRecord
import org.acaciaflow.state.record.ExecutionRecord
import org.acaciaflow.state.record.StoredAnswer
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.refusal.ThisCallNotRun
import kotlin.time.Instant

/** The next step in determining whether a request was executed. */
sealed interface RecordStep {
    data class Resolved(
        val resolution: RecordResolution,
    ) : RecordStep

    /** Ask the sidecar named by [running]; the record is at [revision]. */
    data class AskSidecar(
        val running: ExecutionRecord.MaybeRunning,
        val revision: Long,
    ) : RecordStep

    /** Replace the record at [revision] by [record]; [resolution] applies once the write succeeds. */
    data class Write(
        val record: ExecutionRecord,
        val revision: Long,
        val resolution: RecordResolution,
    ) : RecordStep

    /** Wait for the poll interval, then read the record again. */
    data object Wait : RecordStep
}

/** Returns the step that follows from [found], the record just read, or null when there is none. */
fun stepAfterRead(found: VersionedRecord?): RecordStep {
    if (found == null) return proceed(KeyValueStore.ABSENT, recordOpen = false)
    return when (val record = found.record) {
        is ExecutionRecord.NotExecuted -> proceed(found.revision, recordOpen = false)
        is ExecutionRecord.Answered -> RecordStep.Resolved(replayOf(record.answer))
        is ExecutionRecord.SettledByHand -> stepAfterManualSettlement(record, found.revision)
        is ExecutionRecord.Unknown -> refused(ThisCallNotRun.EARLIER_OUTCOME_UNKNOWN)
        is ExecutionRecord.MaybeRunning -> RecordStep.AskSidecar(record, found.revision)
    }
}

/** Returns the step that follows from a sidecar's [answer] about the attempt in [asked]. */
fun stepAfterSettle(
    asked: RecordStep.AskSidecar,
    answer: SettleAnswer,
    now: Instant,
): RecordStep =
    when (answer) {
        SettleAnswer.NeverStarted -> proceed(asked.revision, recordOpen = true)
        SettleAnswer.StillRunning, SettleAnswer.Unreachable -> RecordStep.Wait
        is SettleAnswer.Completed -> writeAnswered(asked, answer.answer, now)
        is SettleAnswer.Broken -> writeUnknown(asked, answer.reason, now)
        SettleAnswer.Forgotten -> writeUnknown(asked, MayHaveRun.LINK_LOST, now)
    }

private fun stepAfterManualSettlement(
    record: ExecutionRecord.SettledByHand,
    revision: Long,
): RecordStep =
    when (record.executed) {
        true -> refused(ThisCallNotRun.EARLIER_ANSWER_NOT_KEPT)
        false -> proceed(revision, recordOpen = false)
    }

private fun proceed(
    revision: Long,
    recordOpen: Boolean,
): RecordStep = RecordStep.Resolved(RecordResolution.Proceed(revision, recordOpen))

private fun refused(reason: ThisCallNotRun): RecordStep = RecordStep.Resolved(RecordResolution.Refused(reason))

private fun replayOf(answer: StoredAnswer?): RecordResolution =
    when (answer) {
        null -> RecordResolution.Refused(ThisCallNotRun.EARLIER_ANSWER_NOT_KEPT)
        else -> RecordResolution.Replay(answer)
    }

private fun writeAnswered(
    asked: RecordStep.AskSidecar,
    answer: StoredAnswer?,
    now: Instant,
): RecordStep {
    val record = ExecutionRecord.Answered(asked.running.attempt, answer, now)
    return RecordStep.Write(record, asked.revision, replayOf(answer))
}

private fun writeUnknown(
    asked: RecordStep.AskSidecar,
    reason: MayHaveRun,
    now: Instant,
): RecordStep {
    val record = ExecutionRecord.Unknown(asked.running.attempt, asked.running.sidecar, reason, now)
    val resolution = RecordResolution.Refused(ThisCallNotRun.EARLIER_OUTCOME_UNKNOWN)
    return RecordStep.Write(record, asked.revision, resolution)
}
