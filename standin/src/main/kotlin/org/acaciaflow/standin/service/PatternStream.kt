package org.acaciaflow.standin.service

import io.vertx.core.Handler
import io.vertx.core.buffer.Buffer
import io.vertx.core.streams.ReadStream

/** A body of [size] bytes with a repeating pattern, produced with back-pressure from its reader. */
class PatternStream(
    private val size: Long,
) : ReadStream<Buffer> {
    private var dataHandler: Handler<Buffer>? = null
    private var onEnd: Handler<Void>? = null
    private var sent = 0L
    private var paused = false
    private var producing = false
    private var ended = false

    /** Starts the stream; call it after the handlers are set. */
    fun start() = produce()

    override fun handler(handler: Handler<Buffer>?): PatternStream = apply { dataHandler = handler }

    override fun endHandler(handler: Handler<Void>?): PatternStream = apply { onEnd = handler }

    override fun exceptionHandler(handler: Handler<Throwable>?): PatternStream = this

    override fun pause(): PatternStream = apply { paused = true }

    override fun resume(): PatternStream = fetch(Long.MAX_VALUE)

    override fun fetch(amount: Long): PatternStream =
        apply {
            paused = false
            produce()
        }

    private fun produce() {
        if (producing || dataHandler == null) return
        producing = true
        while (!paused && sent < size) {
            val count = minOf(CHUNK_BYTES, size - sent).toInt()
            val chunk = ByteArray(count) { byteAt(sent + it) }
            sent += count
            dataHandler?.handle(Buffer.buffer(chunk))
        }
        producing = false
        if (sent == size && !ended) {
            ended = true
            onEnd?.handle(null)
        }
    }

    companion object {
        private const val CHUNK_BYTES = 16L * 1024
        private const val PERIOD = 251

        /** The byte at offset [place] of the pattern. */
        fun byteAt(place: Long): Byte = (place % PERIOD).toByte()
    }
}
