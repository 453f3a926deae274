package org.acaciaflow.state.backend

/** The phases of generation that a model engine runs; [MIXED] engines run both prefill and decode. */
enum class EngineRole {
    MIXED,
    PREFILL,
    DECODE,
}
