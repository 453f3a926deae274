package org.acaciaflow.transport.http

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.vertx.core.Handler
import io.vertx.core.buffer.Buffer
import io.vertx.core.streams.ReadStream
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield

class BodyChannelTest : AnnotationSpec() {
    /** Guards against a body of many small parts that occupies the event loop, so that no other call is served. */
    @Test
    fun `other work runs while a body of many parts is read`() =
        runBlocking {
            val channel = BodyChannel(InstantStream())
            var otherSteps = 0
            val other =
                launch {
                    while (true) {
                        otherSteps += 1
                        yield()
                    }
                }

            repeat(10_000) { channel.next() }

            other.cancel()
            otherSteps shouldBeGreaterThan 100
        }

    /** Delivers each part at the time it is fetched, like a connection whose data has arrived. */
    private class InstantStream : ReadStream<Buffer> {
        private var receiver: Handler<Buffer>? = null

        override fun exceptionHandler(handler: Handler<Throwable>?): ReadStream<Buffer> = this

        override fun handler(handler: Handler<Buffer>?): ReadStream<Buffer> = apply { receiver = handler }

        override fun pause(): ReadStream<Buffer> = this

        override fun resume(): ReadStream<Buffer> = this

        override fun fetch(amount: Long): ReadStream<Buffer> =
            apply { repeat(amount.toInt()) { receiver?.handle(Buffer.buffer("data")) } }

        override fun endHandler(endHandler: Handler<Void>?): ReadStream<Buffer> = this
    }
}
