package org.acaciaflow.transport.process

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.acaciaflow.coordination.plan.EngineReconciler
import org.acaciaflow.coordination.port.LoopSupervisor
import org.acaciaflow.transport.link.LinkServer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Reconciles an engine with its plan.
 *
 * Runs a step whenever the plan changes, every [STEP_INTERVAL] while the engine differs from its plan, and every
 * [POLL_INTERVAL] otherwise.
 */
internal class EngineReconciliationLoop(
    private val reconciler: EngineReconciler,
    private val links: LinkServer,
) {
    private val planChanged = Channel<Unit>(Channel.CONFLATED)

    fun start(supervisor: LoopSupervisor) {
        supervisor.startLoop("plan-watch") { watchPlan() }
        supervisor.startLoop("engine-reconciliation") { reconcile() }
    }

    private suspend fun watchPlan() {
        while (true) {
            reconciler.planChanges().collect { planChanged.trySend(Unit) }
            planChanged.trySend(Unit)
            delay(WATCH_RETRY_DELAY)
        }
    }

    private suspend fun reconcile() {
        while (true) {
            val progress = reconciler.step()
            if (progress.phaseChanged) links.broadcastLoad()
            withTimeoutOrNull(if (progress.converged) POLL_INTERVAL else STEP_INTERVAL) { planChanged.receive() }
        }
    }

    private companion object {
        val POLL_INTERVAL: Duration = 10.seconds
        val STEP_INTERVAL: Duration = 500.milliseconds
        val WATCH_RETRY_DELAY: Duration = 1.seconds
    }
}
