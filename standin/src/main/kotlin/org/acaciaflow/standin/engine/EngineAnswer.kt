package org.acaciaflow.standin.engine

import io.vertx.core.http.HttpServerResponse

/** The answer to a call in progress; with [truncated] set, it breaks off halfway through its tokens. */
internal class EngineAnswer(
    private val call: EngineCall,
    val response: HttpServerResponse,
    private val truncated: Boolean,
) {
    private var sentEvents = call.resumeFrom

    /** Sends the tokens that [sequence] has generated since the last call. */
    fun advance(sequence: EngineSequence) {
        if (sequence.prefillLeft > 0) return
        if (truncated && sequence.generated > call.maximumTokens / 2) return breakOff()
        if (call.streamed) sendNewTokens(sequence)
        if (sequence.done) finish()
    }

    private fun sendNewTokens(sequence: EngineSequence) {
        if (!response.headWritten()) response.setChunked(true).putHeader("Content-Type", "text/event-stream")
        while (sentEvents < sequence.generated) {
            response.write(CompletionEncoder.event(call, sentEvents))
            sentEvents += 1
        }
    }

    private fun finish() {
        if (call.streamed) {
            response.write(CompletionEncoder.event(call, call.maximumTokens))
            response.end(CompletionEncoder.END_MARK)
        } else {
            response.putHeader("Content-Type", "application/json").end(CompletionEncoder.completion(call))
        }
    }

    private fun breakOff() {
        if (response.ended() || response.closed()) return
        response.reset()
    }
}
