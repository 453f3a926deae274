package org.acaciaflow.coordination.relay

import org.acaciaflow.coordination.crash.CrashRecorder
import org.acaciaflow.coordination.fleet.FleetChanges
import org.acaciaflow.coordination.fleet.SendPermission
import org.acaciaflow.coordination.reliability.ReliabilityPolicy
import org.acaciaflow.coordination.reliability.RunVerdict
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.load.JobIdentity
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.MayHaveRun
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Records what the outcomes of runs tell about backend servers, and about requests that may crash them. */
internal class RunVerdicts(
    private val tables: RelayTables,
    private val crashes: CrashRecorder,
) {
    /** Records that the run [job] of [request] at [life] ended with [outcome] at [now]; its load is still known. */
    fun record(
        request: RelayedRequest,
        life: BackendLife,
        job: JobIdentity,
        outcome: RunOutcome,
        now: Instant,
    ) {
        val verdict =
            when (outcome) {
                is RunOutcome.Delivered -> RunVerdict.SUCCEEDED
                RunOutcome.CallerGone -> return
                is RunOutcome.NotExecuted -> verdictOf(life, outcome.reason) ?: return
                is RunOutcome.Broken -> if (outcome.reason in NO_FAULT_OF_SERVER) return else RunVerdict.FAILED
                is RunOutcome.Failed, is RunOutcome.Superseded -> RunVerdict.FAILED
            }
        tables.reliability.update { ReliabilityPolicy.recorded(it, life, verdict, now) }
        recordCrashEvidence(request, life, job, outcome, now)
    }

    private fun recordCrashEvidence(
        request: RelayedRequest,
        life: BackendLife,
        job: JobIdentity,
        outcome: RunOutcome,
        now: Instant,
    ) {
        when (outcome) {
            is RunOutcome.Delivered -> {
                if (outcome.status < FIRST_FAILURE_STATUS) crashes.served(request.crashSubjects, now)
            }

            is RunOutcome.Broken -> {
                val mayBeCause = outcome.reason in CRASH_SIGNS && wasStarting(life, job, now)
                if (mayBeCause) crashes.crashed(request.crashSubjects, life, now)
            }

            RunOutcome.CallerGone, is RunOutcome.NotExecuted, is RunOutcome.Failed, is RunOutcome.Superseded -> {
                Unit
            }
        }
    }

    /** Returns true if [job] at [life] has no result as of [now] or had its first one just before. */
    private fun wasStarting(
        life: BackendLife,
        job: JobIdentity,
        now: Instant,
    ): Boolean {
        val jobs =
            tables.load
                .snapshot()
                .ownAt(life)
                .jobs
        val firstResultAt = jobs[job]?.firstResultAt ?: return true
        return now - firstResultAt < START_PERIOD
    }

    /** Returns the verdict on a server that did not execute a request; null when nothing was sent to it. */
    private fun verdictOf(
        life: BackendLife,
        reason: AttemptRefusal,
    ): RunVerdict? {
        if (reason in SendPermission.DENIALS) return null
        if (reason == AttemptRefusal.OTHER_LIFE) tables.fleet.update { FleetChanges.rejected(it, life) }
        return if (reason == AttemptRefusal.CONNECTION_REFUSED) RunVerdict.UNREACHABLE else RunVerdict.REFUSED
    }

    private companion object {
        const val FIRST_FAILURE_STATUS = 400
        val NO_FAULT_OF_SERVER = setOf(MayHaveRun.CRASH_SUSPECT, MayHaveRun.STREAM_UNRECORDED)
        val CRASH_SIGNS = setOf(MayHaveRun.BACKEND_CRASHED, MayHaveRun.ANSWER_INCOMPLETE)
        val START_PERIOD: Duration = 250.milliseconds // the first event may arrive before the server has crashed
    }
}
