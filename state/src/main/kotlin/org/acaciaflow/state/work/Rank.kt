package org.acaciaflow.state.work

/** How urgent work is; the first entry is served first. */
enum class Rank {
    URGENT,
    STANDARD,
    BACKGROUND,
}
