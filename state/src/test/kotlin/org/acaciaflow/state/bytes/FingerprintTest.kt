package org.acaciaflow.state.bytes

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import kotlinx.io.bytestring.ByteString
import kotlinx.io.bytestring.encodeToByteString
import java.nio.ByteBuffer

class FingerprintTest : AnnotationSpec() {
    @Test
    fun `equal texts and bytes have equal fingerprints`() {
        val body = "a design of many threads".encodeToByteString()

        val first = fingerprintOf("POST /calls ", body)
        val second = fingerprintOf("POST /calls ", ByteString(body.toByteArray()))

        first shouldBe second
    }

    @Test
    fun `bodies that differ in one byte anywhere have different fingerprints`() {
        val body = ByteArray(4096) { it.toByte() }

        val fingerprints =
            body.indices.map { index ->
                val changed = body.copyOf().also { it[index] = (it[index] + 1).toByte() }
                fingerprintOf("POST /calls ", ByteString(changed))
            }

        fingerprints.distinct() shouldHaveSize body.size
    }

    @Test
    fun `the fingerprint depends on the text as well as on the bytes`() {
        val body = "body".encodeToByteString()

        val fingerprints = listOf("", "GET /a ", "GET /b ").map { fingerprintOf(it, body) } + fingerprintOf("GET /a ")

        fingerprints.distinct() shouldHaveSize 4
    }

    /** Guards against equal bodies that look different because they arrive in other parts. */
    @Test
    fun `bytes that arrive in parts have the fingerprint of the whole`() {
        val whole = ByteArray(1000) { it.toByte() }
        for (size in listOf(1, 7, 999, 1000)) {
            val running = RunningFingerprint()
            whole.asList().chunked(size).forEach { running.add(ByteBuffer.wrap(it.toByteArray())) }

            running.value() shouldBe fingerprintOf("", ByteString(whole))
        }
        RunningFingerprint().value() shouldBe fingerprintOf("")
    }
}
