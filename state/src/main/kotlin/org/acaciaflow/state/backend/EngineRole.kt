package org.acaciaflow.state.backend

/** Which phase of generation a model engine takes part in. */
enum class EngineRole {
    MIXED,
    PREFILL,
    DECODE,
}
