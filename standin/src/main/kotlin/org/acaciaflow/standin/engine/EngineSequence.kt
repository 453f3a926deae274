package org.acaciaflow.standin.engine

/** A request in the engine, with the prompt tokens that still need prefill and the number of generated tokens. */
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
