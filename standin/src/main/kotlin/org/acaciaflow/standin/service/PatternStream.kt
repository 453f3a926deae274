package org.acaciaflow.standin.service

import io.vertx.core.Handler
import io.vertx.core.buffer.Buffer
import io.vertx.core.streams.ReadStream

/** A body of [size] bytes in which the byte at each place is known, produced as fast as it is read. */
class PatternStream(
    private val size: Long,
) : ReadStream<Buffer> {
    private var dataHandler: Handler<Buffer>? = null
    private var closeHandler: Handler<Void>? = null
    private var sent = 0L
    private var paused = false
    private var producing = false
    private var ended = false

    /** Starts producing once the handlers are set. */
    fun start() = produce()

    override fun handler(handler: Handler<Buffer>?): PatternStream = apply { dataHandler = handler }

    override fun endHandler(handler: Handler<Void>?): PatternStream = apply { closeHandler = handler }

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
            closeHandler?.handle(null)
        }
    }

    companion object {
        private const val CHUNK_BYTES = 16L * 1024
        private const val PERIOD = 251

        /** The byte at [place] of every such body. */
        fun byteAt(place: Long): Byte = (place % PERIOD).toByte()
    }
}
