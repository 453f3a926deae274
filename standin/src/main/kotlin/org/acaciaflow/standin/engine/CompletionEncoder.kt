package org.acaciaflow.standin.engine

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject

/** Encodes the stand-in engine's answers in the style of the OpenAI completions and chat completions API. */
internal object CompletionEncoder {
    const val END_MARK = "data: [DONE]\n\n"

    /** The server-sent event for the token at [index], or the final event after the last token. */
    fun event(
        call: EngineCall,
        index: Int,
    ): String {
        val last = index >= call.maximumTokens
        val text = if (last) "" else call.token(index)
        return "data: ${body(call, "chunk", text, if (last) "length" else null)}\n\n"
    }

    /** The complete answer to a call that is not streamed. */
    fun completion(call: EngineCall): String {
        val text = (0 until call.maximumTokens).joinToString("") { call.token(it) }
        return body(call, "whole", text, "length").toString()
    }

    private fun body(
        call: EngineCall,
        form: String,
        text: String,
        finish: String?,
    ): JsonObject =
        buildJsonObject {
            put("id", call.identity)
            put("object", if (call.chat) "chat.completion.$form" else "text_completion")
            put("choices", buildJsonArray { add(choice(call, form, text, finish)) })
        }

    private fun choice(
        call: EngineCall,
        form: String,
        text: String,
        finish: String?,
    ): JsonObject =
        buildJsonObject {
            put("index", 0)
            if (call.chat) {
                putJsonObject(if (form == "chunk") "delta" else "message") { put("content", text) }
            } else {
                put("text", text)
            }
            put("finish_reason", finish)
        }
}
