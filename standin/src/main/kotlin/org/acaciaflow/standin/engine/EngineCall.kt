package org.acaciaflow.standin.engine

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.acaciaflow.state.work.digestOf

/** A completion request as the stand-in engine understands it. */
internal data class EngineCall(
    val prompt: String,
    val maximumTokens: Int,
    val streamed: Boolean,
    val chat: Boolean,
    val priority: Int,
    val resumeFrom: Int,
) {
    val promptTokens: Int
        get() = prompt.length / CHARACTERS_PER_TOKEN

    /** True for a prompt that takes its engine down. */
    val crashes: Boolean
        get() = CRASH_MARK in prompt

    private val seed: String by lazy { digestOf("prompt", "", prompt.encodeToByteArray()).hexadecimal }

    /** The identity of the completion, the same on every engine. */
    val identity: String
        get() = "cmpl-${seed.take(IDENTITY_LENGTH)}"

    /** The token at [index], a function of prompt and index alone. */
    fun token(index: Int): String = " " + digestOf(seed, index.toString(), ByteArray(0)).hexadecimal.take(TOKEN_LENGTH)

    /** The prompt's cache pieces: each names the text from the start of the prompt to its own end. */
    fun pieces(tokensPerPiece: Int): PersistentList<String> {
        val characters = tokensPerPiece * CHARACTERS_PER_TOKEN
        val count = prompt.length / characters
        if (count == 0) return persistentListOf()
        return (1..count).map { prompt.take(it * characters).hashCode().toString() + ":" + it }.toPersistentList()
    }

    companion object {
        const val CRASH_MARK = "CRASH-ENGINE"
        private const val CHARACTERS_PER_TOKEN = 4
        private const val IDENTITY_LENGTH = 12
        private const val TOKEN_LENGTH = 5
        private const val DEFAULT_TOKENS = 16

        /** Reads a request body; null when it is not a completion request. */
        fun parse(
            text: String,
            chat: Boolean,
            priority: Int,
            resumeFrom: Int,
        ): EngineCall? {
            val root = runCatching { Json.parseToJsonElement(text) as? JsonObject }.getOrNull() ?: return null
            val element = (if (chat) root["messages"] else root["prompt"]) ?: return null
            return EngineCall(
                prompt = if (element is JsonPrimitive) element.content else element.toString(),
                maximumTokens = (root["max_tokens"] as? JsonPrimitive)?.content?.toIntOrNull() ?: DEFAULT_TOKENS,
                streamed = (root["stream"] as? JsonPrimitive)?.content == "true",
                chat = chat,
                priority = priority,
                resumeFrom = resumeFrom,
            )
        }
    }
}
