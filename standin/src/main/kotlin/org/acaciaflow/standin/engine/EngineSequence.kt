package org.acaciaflow.standin.engine

/** A request inside the engine: how much of its prompt is still to be read, and how many tokens it has. */
internal data class EngineSequence(
    val number: Long,
    val call: EngineCall,
    val prefillLeft: Int,
    val generated: Int,
) {
    val contextTokens: Int
        get() = call.promptTokens + generated

    val done: Boolean
        get() = prefillLeft == 0 && generated >= call.maximumTokens
}
