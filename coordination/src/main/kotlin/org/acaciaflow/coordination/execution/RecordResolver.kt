package org.acaciaflow.coordination.execution

import kotlinx.coroutines.delay
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.ExecutionRecords
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.RecordSwap
import org.acaciaflow.coordination.port.SidecarConnections
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.state.identity.RequestIdentity
import org.acaciaflow.state.record.ExecutionRecord
import org.acaciaflow.state.refusal.ThisCallNotRun
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Resolves the execution record of a non-idempotent request for a call.
 *
 * A record that an earlier attempt left open, such as after a gateway crash, is settled with the sidecar that it names.
 */
class RecordResolver(
    private val records: ExecutionRecords,
    private val connections: SidecarConnections,
    private val observations: Observations,
    private val clock: Clock,
) {
    /** Retries until [deadline]; a resent request waits here while the original call is still running. */
    suspend fun resolve(
        identity: RequestIdentity,
        deadline: Instant,
    ): RecordResolution {
        var fallback = ThisCallNotRun.RECORD_UNREADABLE
        while (true) {
            val step = nextStep(identity)
            if (step is RecordStep.Resolved) return step.resolution
            if (step is RecordStep.Wait) fallback = ThisCallNotRun.EARLIER_CALL_RUNNING
            if (clock.now() + POLL_INTERVAL >= deadline) return RecordResolution.Refused(fallback)
            delay(POLL_INTERVAL)
        }
    }

    private suspend fun nextStep(identity: RequestIdentity): RecordStep? =
        when (val read = records.read(identity)) {
            is StoreResult.Failure -> {
                observations.storeFailed(read.reason)
                null
            }

            is StoreResult.Success -> {
                execute(identity, stepAfterRead(read.value))
            }
        }

    private suspend fun execute(
        identity: RequestIdentity,
        step: RecordStep,
    ): RecordStep? =
        when (step) {
            is RecordStep.AskSidecar -> {
                val answer = connections.settle(step.running.attempt, step.running.sidecar, SETTLE_TIMEOUT)
                execute(identity, stepAfterSettle(step, answer, clock.now()))
            }

            is RecordStep.Write -> {
                write(identity, step)
            }

            is RecordStep.Resolved, RecordStep.Wait -> {
                step
            }
        }

    private suspend fun write(
        identity: RequestIdentity,
        step: RecordStep.Write,
    ): RecordStep? =
        when (val written = records.swap(identity, step.revision, step.record)) {
            is StoreResult.Failure -> {
                observations.storeFailed(written.reason)
                null
            }

            is StoreResult.Success -> {
                when (written.value) {
                    RecordSwap.Conflict -> {
                        null
                    }

                    is RecordSwap.Written -> {
                        logResolution(identity, step.record)
                        RecordStep.Resolved(step.resolution)
                    }
                }
            }
        }

    private fun logResolution(
        identity: RequestIdentity,
        record: ExecutionRecord,
    ) {
        when (record) {
            is ExecutionRecord.Unknown -> observations.event(Event.ExecutionUnknown(identity, record.reason))
            else -> observations.event(Event.ExecutionSettled(identity))
        }
    }

    private companion object {
        val POLL_INTERVAL: Duration = 100.milliseconds
        val SETTLE_TIMEOUT: Duration = 500.milliseconds
    }
}
