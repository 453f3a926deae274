package org.acaciaflow.standin.trial

import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.acaciaflow.standin.engine.CompletionEncoder
import org.acaciaflow.standin.engine.EngineCall

/** Creates calls of every kind and rank of both sites. */
internal object TrialCalls {
    /** Idempotent calls; [salt] makes their content unique to a run. */
    fun repeatable(salt: String): List<TrialCall> =
        listOf(
            completion("thread-query", "urgent", "loom-thread", "which thread is $salt", 12, streamed = true),
            completion("thread-query", "urgent", "loom-thread", "what weight is $salt", 12, streamed = false),
            completion("full-sett-comparison", "standard", "loom-sett", longPrompt("sett", salt), 24, streamed = true),
            completion("full-sett-comparison", "standard", "loom-sett", longPrompt("s", salt), 24, streamed = false),
            completion("clash-screen", "background", "loom-clash", "does $salt clash", 1, streamed = false),
            chat("field-question", "urgent", "pond-truck", "how deep is pond $salt", 16, streamed = true),
            chat("field-question", "urgent", "pond-truck", "is pond $salt open", 16, streamed = false),
            completion("refill-draft", "standard", "pond-log", longPrompt("log", salt), 64, streamed = true),
            completion("report-tag", "background", "pond-tag", "report $salt", 1, streamed = false),
            lookup("lookup", "/register/setts/a%2Fb?family=$salt&x=%20"),
            lookup("pond-status", "/works/ponds/$salt"),
        )

    fun threadQuery(
        prompt: String,
        tokens: Int = 12,
    ): TrialCall = completion("thread-query", "urgent", "loom-thread", prompt, tokens, streamed = true)

    fun filing(claim: String): TrialCall =
        TrialCall(
            kind = "claim-filing",
            rank = "urgent",
            method = "POST",
            target = "/register/claims",
            headers = mapOf("X-Claim" to claim, "Content-Type" to "text/plain"),
            body = "pattern of $claim",
            expectation = Expectation.Echo(executions = 1),
            identity = claim,
        )

    fun release(release: String): TrialCall =
        TrialCall(
            kind = "tanker-release",
            rank = "urgent",
            method = "POST",
            target = "/works/releases",
            headers = mapOf("Content-Type" to "application/json"),
            body = buildJsonObject { put("release", release) }.toString(),
            expectation = Expectation.Echo(executions = 1),
            identity = release,
        )

    fun lookup(name: String): TrialCall = lookup("lookup", "/register/$name")

    private fun lookup(
        kind: String,
        target: String,
    ): TrialCall = TrialCall(kind, "standard", "GET", target, emptyMap(), null, Expectation.Echo(executions = null))

    private fun completion(
        kind: String,
        rank: String,
        model: String,
        prompt: String,
        tokens: Int,
        streamed: Boolean,
    ): TrialCall {
        val body =
            buildJsonObject {
                put("model", model)
                put("prompt", prompt)
                put("max_tokens", tokens)
                put("stream", streamed)
            }
        return modelCall(kind, rank, "/v1/completions", body.toString(), chat = false)
    }

    private fun chat(
        kind: String,
        rank: String,
        model: String,
        prompt: String,
        tokens: Int,
        streamed: Boolean,
    ): TrialCall {
        val message =
            buildJsonObject {
                put("role", "user")
                put("content", prompt)
            }
        val body =
            buildJsonObject {
                put("model", model)
                put("messages", buildJsonArray { add(message) })
                put("max_tokens", tokens)
                put("stream", streamed)
            }
        return modelCall(kind, rank, "/v1/chat/completions", body.toString(), chat = true)
    }

    private fun modelCall(
        kind: String,
        rank: String,
        target: String,
        body: String,
        chat: Boolean,
    ): TrialCall {
        val call = checkNotNull(EngineCall.parse(body, chat, priority = 0, resumeFrom = 0))
        val headers = mapOf("Content-Type" to "application/json")
        val expected = Expectation.ExactBody(expectedBody(call))
        return TrialCall(kind, rank, "POST", target, headers, body, expected)
    }

    private fun expectedBody(call: EngineCall): String {
        if (!call.streamed) return CompletionEncoder.completion(call)
        val events = (0..call.maximumTokens).joinToString("") { CompletionEncoder.event(call, it) }
        return events + CompletionEncoder.END_MARK
    }

    private fun longPrompt(
        word: String,
        salt: String,
    ): String = (1..LONG_PROMPT_WORDS).joinToString(" ") { "$word$it" } + " " + salt

    private const val LONG_PROMPT_WORDS = 800
}
