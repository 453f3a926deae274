package org.acaciaflow.transport.http

import io.vertx.core.Future
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.selects.select
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.port.CallerExchange
import org.acaciaflow.coordination.port.CallerWrite
import org.acaciaflow.state.refusal.Refusal
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.CallHead
import kotlin.time.Duration

/** A caller's HTTP call; its [answer] is written with back-pressure from the caller's connection. */
internal class VertxCallerExchange(
    override val call: CallHead,
    override val body: VertxCallBody,
    private val answer: CallerAnswer,
    private val closed: CompletableDeferred<Unit>,
) : CallerExchange {
    override val disconnected: Boolean
        get() = closed.isCompleted

    override fun onDisconnect(action: () -> Unit) {
        closed.invokeOnCompletion { action() }
    }

    override suspend fun begin(head: AnswerHead): CallerWrite {
        if (disconnected) return CallerWrite.CALLER_GONE
        answer.begin(head)
        return CallerWrite.WRITTEN
    }

    override suspend fun send(bytes: ByteString): CallerWrite {
        if (disconnected) return CallerWrite.CALLER_GONE
        val written = answer.write(bytes)
        if (!answer.isQueueFull) return CallerWrite.WRITTEN
        return awaitWritten(written)
    }

    override suspend fun end(): CallerWrite {
        if (disconnected) return CallerWrite.CALLER_GONE
        body.discardRest()
        return awaitWritten(answer.end())
    }

    override suspend fun refuse(
        refusal: Refusal,
        retryAfter: Duration?,
    ): CallerWrite {
        if (disconnected) return CallerWrite.CALLER_GONE
        body.discardRest()
        return awaitWritten(answer.refuse(refusal, retryAfter))
    }

    override fun abort(reason: Refusal) {
        body.discardRest()
        answer.abort(reason)
    }

    private suspend fun awaitWritten(written: Future<Void>): CallerWrite {
        val done = CompletableDeferred<CallerWrite>()
        written.onComplete { result ->
            done.complete(if (result.succeeded()) CallerWrite.WRITTEN else CallerWrite.CALLER_GONE)
        }
        return select {
            done.onAwait { it }
            closed.onAwait { CallerWrite.CALLER_GONE }
        }
    }
}
