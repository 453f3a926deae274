package org.acaciaflow.state.configuration

import kotlin.time.Duration

/** The part of a call from which the identity of a non-idempotent request is derived. */
sealed interface IdentitySource {
    data class Header(
        val name: String,
    ) : IdentitySource

    /** A top-level field of the JSON body. */
    data class JsonField(
        val field: String,
    ) : IdentitySource

    /**
     * The content of the call: calls with equal content within the same [window] count as one request.
     *
     * Two separate requests with equal content in one window are therefore merged; operators who configure this source
     * accept that.
     */
    data class Content(
        val window: Duration,
    ) : IdentitySource
}
