package org.acaciaflow.transport.http

import io.vertx.core.Future
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.HttpServerResponse
import io.vertx.core.http.HttpVersion
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.protocol.http.HopByHopHeaders
import org.acaciaflow.state.refusal.Refusal
import org.acaciaflow.state.work.AnswerHead
import kotlin.time.Duration

/** Writes the answer to one call of a caller; [onWritten] runs once the whole answer was written or the write failed. */
internal class CallerAnswer(
    private val request: HttpServerRequest,
    private val frontEnd: FrontEnd,
    private val observations: Observations,
    private val onWritten: () -> Unit,
) {
    private val response: HttpServerResponse = request.response()
    private var closesConnection = false

    /** True while the caller's connection takes no more bytes. */
    val isQueueFull: Boolean
        get() = response.writeQueueFull()

    /** Closes the caller's connection once the answer was written. */
    fun closeConnectionAfter() {
        closesConnection = true
    }

    /** Sets status and headers, which are written with the first part of the body or the end. */
    fun begin(head: AnswerHead) {
        val fields = HopByHopHeaders.strip(head.headers)
        response.statusCode = head.status
        fields.forEach { response.headers().add(it.name, it.value) }
        announceClose()
        val sized = fields.any { it.name.equals("content-length", ignoreCase = true) }
        if (!sized && request.version() != HttpVersion.HTTP_1_0 && mayHaveBody(head)) response.isChunked = true
    }

    /** Writes a part of the body. */
    fun write(bytes: ByteString): Future<Void> = response.write(bytes.toBuffer())

    /** Ends an answer that is complete. */
    fun end(): Future<Void> = response.end().onComplete { onWritten() }

    /** Answers with [refusal] in place of a head that was set but not written. */
    fun refuse(
        refusal: Refusal,
        retryAfter: Duration?,
    ): Future<Void> {
        val answer = frontEnd.refusals.encode(refusal, retryAfter)
        response.headers().clear()
        response.isChunked = false
        response.statusCode = answer.status
        answer.headers.forEach { response.headers().add(it.name, it.value) }
        announceClose()
        return response.end(answer.body.toBuffer()).onComplete {
            onWritten()
            if (closesConnection) request.connection().close()
        }
    }

    /** Ends an answer that cannot be completed for [reason]: refuses if nothing was written, cuts it otherwise. */
    fun abort(reason: Refusal) {
        when {
            response.ended() || response.closed() -> {
                return
            }

            response.headWritten() -> {
                observations.callerConnectionClosed(reason)
                request.connection().close()
            }

            else -> {
                refuse(reason, retryAfter = null)
            }
        }
    }

    /** Asks the caller to close this connection when the process is stopping, or no further call can follow on it. */
    private fun announceClose() {
        if (frontEnd.stopping || closesConnection) response.headers().set("Connection", "close")
    }

    private fun mayHaveBody(head: AnswerHead): Boolean =
        request.method().name() != "HEAD" && head.status != NO_CONTENT && head.status != NOT_MODIFIED

    private companion object {
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304
    }
}
