package org.acaciaflow.standin.engine

import io.vertx.core.http.HttpServerResponse

/** The answer of one call in progress; [cut] when it is to stop half way. */
internal class EngineAnswer(
    private val call: EngineCall,
    val response: HttpServerResponse,
    private val cut: Boolean,
) {
    private var sentEvents = call.resumeFrom

    /** Sends what [sequence] has newly generated. */
    fun advance(sequence: EngineSequence) {
        if (sequence.prefillLeft > 0) return
        if (cut && sequence.generated > call.maximumTokens / 2) return cutOff()
        if (call.streamed) stream(sequence)
        if (sequence.done) finish()
    }

    private fun stream(sequence: EngineSequence) {
        if (!response.headWritten()) response.setChunked(true).putHeader("Content-Type", "text/event-stream")
        while (sentEvents < sequence.generated) {
            response.write(EngineAnswers.event(call, sentEvents))
            sentEvents += 1
        }
    }

    private fun finish() {
        if (call.streamed) {
            response.write(EngineAnswers.event(call, call.maximumTokens))
            response.end(EngineAnswers.END_MARK)
        } else {
            response.putHeader("Content-Type", "application/json").end(EngineAnswers.whole(call))
        }
    }

    private fun cutOff() {
        if (response.ended() || response.closed()) return
        response.reset()
    }
}
