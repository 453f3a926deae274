package org.acaciaflow.state.prompt

import kotlinx.collections.immutable.PersistentList

/** A part of a prompt that engines cache by [key], which names the model too. */
data class PromptPart(
    val key: String,
    val tokens: Int,
)

/** What is known of a generation: its [parts] in order, the last one its own, and the tokens it may produce. */
data class Prompt(
    val parts: PersistentList<PromptPart>,
    val promptTokens: Int,
    val maximumOutputTokens: Int,
)
