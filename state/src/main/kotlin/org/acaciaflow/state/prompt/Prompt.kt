package org.acaciaflow.state.prompt

import kotlinx.collections.immutable.PersistentList
import org.acaciaflow.state.bytes.fingerprintOf

/** A part of a prompt that engines cache under [key]; the key is specific to one model. */
data class PromptPart(
    val key: Long,
    val tokens: Int,
)

/**
 * The prompt of a generation request.
 *
 * [parts] are in order; the last one belongs to this request alone. [maximumOutputTokens] limits the tokens that may be
 * generated.
 */
data class Prompt(
    val parts: PersistentList<PromptPart>,
    val promptTokens: Int,
    val maximumOutputTokens: Int,
) {
    /** The parts that other prompts may share. */
    val sharedParts: List<PromptPart>
        get() = parts.dropLast(1)
}

/** The form of the cache [key] of a prompt part in the log. */
fun promptPartKeyText(key: Long): String = key.toULong().toString(radix = 16)

/** The cache key of the prompt part that callers identify as [identity], for [model]. */
fun promptPartKey(
    model: String,
    identity: String,
): Long = fingerprintOf("$model/$identity")
