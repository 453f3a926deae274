package org.acaciaflow.standin.engine

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.acaciaflow.state.work.digestOf

/** A parsed completion or chat completion request. */
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

    /** True when this prompt crashes the engine that runs it. */
    val crashes: Boolean
        get() = CRASH_MARK in prompt

    private val seed: String by lazy { digestOf("prompt", "", prompt.encodeToByteArray()).hexadecimal }

    /** The completion's identity, derived from the prompt and so the same on every engine. */
    val identity: String
        get() = "cmpl-${seed.take(IDENTITY_LENGTH)}"

    /** The token at [index], which depends only on the prompt and the index. */
    fun token(index: Int): String = " " + digestOf(seed, index.toString(), ByteArray(0)).hexadecimal.take(TOKEN_LENGTH)

    /** Keys of the prompt's full cache blocks; each key covers the prompt from its start to the end of the block. */
    fun blockKeys(tokensPerBlock: Int): PersistentList<String> {
        val characters = tokensPerBlock * CHARACTERS_PER_TOKEN
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

        /** Parses a request body; null when it is not a completion request. */
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
