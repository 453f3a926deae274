package org.acaciaflow.state.prompt

import kotlinx.collections.immutable.PersistentList
import org.acaciaflow.state.bytes.fingerprintOf

/** A part of a prompt that engines cache by [key], which names the model too. */
data class PromptPart(
    val key: Long,
    val tokens: Int,
)

/** What is known of a generation: its [parts] in order, the last one its own, and the tokens it may produce. */
data class Prompt(
    val parts: PersistentList<PromptPart>,
    val promptTokens: Int,
    val maximumOutputTokens: Int,
)

/** The key of a part that callers name [identity], for the model [model]. */
fun promptPartKey(
    model: String,
    identity: String,
): Long = fingerprintOf("$model/$identity")
