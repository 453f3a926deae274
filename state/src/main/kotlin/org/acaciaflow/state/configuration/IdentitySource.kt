package org.acaciaflow.state.configuration

import kotlin.time.Duration

/** Where the identity of a non-idempotent request is found. */
sealed interface IdentitySource {
    data class Header(
        val name: String,
    ) : IdentitySource

    /** A top-level field of the JSON body. */
    data class JsonField(
        val field: String,
    ) : IdentitySource

    /**
     * No identity in the call: two calls with the same content are one request while they fall into one [window].
     *
     * Two honest equal calls inside a window are then taken for one; the operator accepts that by naming this source.
     */
    data class Content(
        val window: Duration,
    ) : IdentitySource
}
