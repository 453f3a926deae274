package org.acaciaflow.transport.process

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.acaciaflow.coordination.plan.EngineReconciler
import org.acaciaflow.transport.link.LinkServer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Steps an engine towards its plan: often while they differ, otherwise when the plan changes or a poll is due. */
internal class EngineKeeping(
    private val reconciler: EngineReconciler,
    private val links: LinkServer,
) {
    private val changed = Channel<Unit>(Channel.CONFLATED)

    fun start(scope: CoroutineScope) {
        scope.launch { watch() }
        scope.launch { keep() }
    }

    private suspend fun watch() {
        while (true) {
            reconciler.planChanges().collect { changed.trySend(Unit) }
            changed.trySend(Unit)
            delay(WATCH_RETRY)
        }
    }

    private suspend fun keep() {
        while (true) {
            val progress = reconciler.step()
            if (progress.phaseChanged) links.tellAll()
            withTimeoutOrNull(if (progress.converged) POLL_INTERVAL else STEP_INTERVAL) { changed.receive() }
        }
    }

    private companion object {
        val POLL_INTERVAL: Duration = 10.seconds
        val STEP_INTERVAL: Duration = 500.milliseconds
        val WATCH_RETRY: Duration = 1.seconds
    }
}
