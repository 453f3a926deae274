package org.acaciaflow.protocol.json

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.io.bytestring.encodeToByteString
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.acaciaflow.coordination.classification.BodyFacts
import org.acaciaflow.protocol.configuration.ConfigurationCodec
import org.acaciaflow.protocol.configuration.DecodedConfiguration
import org.acaciaflow.protocol.http.JsonBodyReader
import org.acaciaflow.state.work.CallHead

class ForeignJsonTest : AnnotationSpec() {
    @Test
    fun `text nested to the limit is parsed and one level more is rejected`() {
        Json.parseForeign(nested(MAXIMUM_JSON_DEPTH)).toString() shouldBe nested(MAXIMUM_JSON_DEPTH)

        shouldThrow<SerializationException> { Json.parseForeign(nested(MAXIMUM_JSON_DEPTH + 1)) }
    }

    @Test
    fun `brackets within strings do not count`() {
        val text = "\"" + "[{".repeat(MAXIMUM_JSON_DEPTH) + "\\\"[\""

        Json.parseForeign(text).toString() shouldBe text
    }

    @Test
    fun `arrays one after the other do not count as nested`() {
        val text = List(MAXIMUM_JSON_DEPTH * 2) { "[]" }.joinToString(",", "[", "]")

        Json.parseForeign(text).toString() shouldBe text
    }

    @Test
    fun `a deeply nested body is opaque and a deeply nested configuration is faulty`() {
        val body = "{\"a\":".repeat(DEEP) + "[".repeat(DEEP)
        val call = CallHead("POST", "/", persistentListOf())

        JsonBodyReader().read(call, body.encodeToByteString()) shouldBe BodyFacts.OPAQUE
        ConfigurationCodec.decodeRevised(body.encodeToByteArray()).shouldBeInstanceOf<DecodedConfiguration.Faulty>()
    }

    private fun nested(depth: Int): String = "[".repeat(depth) + "]".repeat(depth)

    private companion object {
        const val DEEP = 1_000_000
    }
}
