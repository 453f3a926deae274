package org.acaciaflow.state.work

/** The priority of work; entries are listed from the highest to the lowest. */
enum class Rank {
    URGENT,
    STANDARD,
    BACKGROUND,
}
