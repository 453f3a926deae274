package org.acaciaflow.protocol.http

import kotlinx.collections.immutable.toPersistentMap
import kotlinx.io.bytestring.ByteString
import kotlinx.io.bytestring.decodeToString
import kotlinx.io.bytestring.isEmpty
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.acaciaflow.coordination.classification.BodyFacts
import org.acaciaflow.coordination.classification.BodyReader
import org.acaciaflow.protocol.json.parseForeign
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.state.work.RequestDigest
import org.acaciaflow.state.work.WorkEstimate
import org.acaciaflow.state.work.digestOf

/** Extracts the top-level primitive fields of JSON bodies and estimates the work of completion and chat requests. */
class JsonBodyReader : BodyReader {
    override fun read(
        call: CallHead,
        body: ByteString,
    ): BodyFacts {
        val root = parseObject(body) ?: return BodyFacts.OPAQUE
        val prompt = promptText(root)
        return BodyFacts(
            fields = primitiveFields(root),
            estimate = prompt?.let { estimate(root, it) },
            prefix = prompt?.let { prefixOf(it) },
        )
    }

    private fun parseObject(body: ByteString): JsonObject? {
        if (body.isEmpty() || body[0] != OPENING_BRACE) return null
        return try {
            Json.parseForeign(body.decodeToString()) as? JsonObject
        } catch (_: SerializationException) {
            null
        }
    }

    private fun primitiveFields(root: JsonObject) =
        root
            .mapNotNull { (name, element) -> (element as? JsonPrimitive)?.let { name to it.content } }
            .toMap()
            .toPersistentMap()

    /** The prompt of a completion request, or the messages of a chat request as a single string. */
    private fun promptText(root: JsonObject): String? {
        val element: JsonElement = root["prompt"] ?: root["messages"] ?: return null
        return if (element is JsonPrimitive) element.content else element.toString()
    }

    private fun estimate(
        root: JsonObject,
        prompt: String,
    ): WorkEstimate {
        val limit = (root["max_tokens"] as? JsonPrimitive)?.content?.toIntOrNull()
        return WorkEstimate(
            promptTokens = prompt.length / CHARACTERS_PER_TOKEN,
            outputTokens = limit ?: DEFAULT_OUTPUT_TOKENS,
        )
    }

    private fun prefixOf(prompt: String): RequestDigest =
        digestOf(method = "prefix", target = "", prompt.take(PREFIX_CHARACTERS).encodeToByteArray())

    private companion object {
        const val OPENING_BRACE = '{'.code.toByte()
        const val CHARACTERS_PER_TOKEN = 4
        const val DEFAULT_OUTPUT_TOKENS = 128
        const val PREFIX_CHARACTERS = 1024
    }
}
