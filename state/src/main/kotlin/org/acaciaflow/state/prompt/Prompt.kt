package org.acaciaflow.state.prompt

import kotlinx.collections.immutable.PersistentList

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

/** The key of a part that callers name [identity], for the model [model]: a 64-bit FNV-1a hash of both. */
fun promptPartKey(
    model: String,
    identity: String,
): Long {
    var hash = FNV_OFFSET
    for (character in "$model/$identity") hash = (hash xor character.code.toLong()) * FNV_PRIME
    return hash
}

private const val FNV_OFFSET = -3750763034362895579L
private const val FNV_PRIME = 1099511628211L
