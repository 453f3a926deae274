package org.acaciaflow.protocol.frame

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.collections.immutable.persistentListOf
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.classification.BodyFacts
import org.acaciaflow.protocol.configuration.ConfigurationCodec
import org.acaciaflow.protocol.configuration.DecodedConfiguration
import org.acaciaflow.protocol.http.JsonBodyReader
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.work.CallHead

/** Every decoder returns a typed fault for random and truncated input. */
class DecodersTest : AnnotationSpec() {
    private val config = PropTestConfig(seed = SEED, iterations = 3000)
    private val randomBytes = Arb.byteArray(Arb.int(0..200), Arb.byte())
    private val call = CallHead("POST", "/", persistentListOf())

    @Test
    fun `a frame is unchanged after encoding and decoding`() {
        val envelope = envelope()

        val decoded = FrameCodec.decode(FrameCodec.encode(envelope))

        decoded shouldBe DecodedFrame.Frame(envelope)
    }

    @Test
    suspend fun `the frame decoder throws no exception on random bytes`() {
        println("seed $SEED")
        checkAll(config, randomBytes) { bytes -> FrameCodec.decode(bytes) }
    }

    @Test
    fun `a truncated frame is undecodable`() {
        val whole = FrameCodec.encode(envelope())

        whole.indices.forEach { length ->
            FrameCodec.decode(whole.copyOf(length)).shouldBeInstanceOf<DecodedFrame.Faulty>()
        }
    }

    @Test
    suspend fun `the frame decoder throws no exception on a frame with a changed byte`() {
        val whole = FrameCodec.encode(envelope())
        checkAll(config, Arb.int(whole.indices), Arb.byte()) { place, value ->
            FrameCodec.decode(whole.copyOf().also { it[place] = value })
        }
    }

    @Test
    suspend fun `random bytes decode to a faulty configuration`() {
        checkAll(config, randomBytes) { bytes ->
            ConfigurationCodec.decodeRevised(bytes).shouldBeInstanceOf<DecodedConfiguration.Faulty>()
        }
    }

    @Test
    suspend fun `a body of random bytes after an opening brace is opaque`() {
        checkAll(config, randomBytes) { bytes ->
            val facts = JsonBodyReader().read(call, ByteString("{".encodeToByteArray() + bytes))

            facts shouldBe BodyFacts.OPAQUE
        }
    }

    private fun envelope(): Envelope {
        val process = ProcessIdentity(HostAddress("127.0.0.1", 7000), startNumber = -5)
        val body = FrameBody.AnswerHead(status = 200, headers = listOf(WireHeader("Content-Type", "text/plain")))
        return Envelope(revision = 7, AttemptIdentity(process, sequence = 3).toWire(), body)
    }

    private companion object {
        const val SEED = 4205L
    }
}
