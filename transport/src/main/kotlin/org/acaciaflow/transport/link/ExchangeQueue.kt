package org.acaciaflow.transport.link

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.BackendResult
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.sidecar.SidecarExchange
import org.acaciaflow.protocol.frame.FrameBody
import org.acaciaflow.state.refusal.MayHaveRun

/** Queue of admitted attempts for the sidecar's workers; admission bounds its length. */
internal class ExchangeQueue(
    private val exchange: SidecarExchange,
    private val observations: Observations,
) {
    private val admitted = Channel<QueuedExchange>(Channel.UNLIMITED)

    /** Queues an admitted call; [onFinished] receives the last frame of its answer. */
    fun submit(
        call: RunningCall,
        onFinished: (FrameBody) -> Unit,
    ) {
        admitted.trySend(QueuedExchange(call, onFinished))
    }

    /** Waits for the next admitted call and runs it until it completes, fails or is cancelled. */
    suspend fun serveNext() {
        val next = admitted.receive()
        val result =
            try {
                run(next.call)
            } catch (failure: Exception) {
                currentCoroutineContext().ensureActive()
                observations.event(Event.WorkerFailed(failure))
                BackendResult.Broken(MayHaveRun.ANSWER_INCOMPLETE)
            }
        next.onFinished(lastFrame(next.call, result))
    }

    private suspend fun run(call: RunningCall): BackendResult =
        coroutineScope {
            val work = async { exchange.run(call.order, call.stream, call.stream) }
            val cancellation =
                launch {
                    call.cancelled.await()
                    work.cancel()
                }
            try {
                work.await()
            } catch (_: CancellationException) {
                currentCoroutineContext().ensureActive()
                BackendResult.Broken(MayHaveRun.CALLER_GONE)
            } finally {
                cancellation.cancel()
            }
        }

    private fun lastFrame(
        call: RunningCall,
        result: BackendResult,
    ): FrameBody =
        when (result) {
            BackendResult.Completed -> FrameBody.AnswerEnd(call.stream.sentBytes)
            is BackendResult.NotStarted -> FrameBody.Refused(result.reason)
            is BackendResult.Broken -> FrameBody.Broken(result.reason)
        }

    private data class QueuedExchange(
        val call: RunningCall,
        val onFinished: (FrameBody) -> Unit,
    )
}
