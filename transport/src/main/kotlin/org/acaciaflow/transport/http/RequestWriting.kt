package org.acaciaflow.transport.http

import io.vertx.core.Future
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpHeaders
import io.vertx.core.http.HttpMethod

/**
 * Whether a request was written whole, as far as its connection can tell.
 *
 * A body without length that ends with its connection is complete only then: a server that closes before it has taken
 * the rest of a request may have broken off.
 */
internal class RequestWriting {
    @Volatile
    private var isWhole = false

    /** True once an answer ended with its connection before the request was written whole. */
    @Volatile
    var hasCutAnswer = false
        private set

    /** Takes the result of the last write of the request. */
    fun ending(lastWrite: Future<Void>) {
        lastWrite.onSuccess { isWhole = true }
    }

    /** Returns the body of [response], whose end counts as a break where the answer was cut. */
    fun bodyOf(response: HttpClientResponse): BodyChannel = BodyChannel(response.pause()) { endsWhole(response) }

    private fun endsWhole(response: HttpClientResponse): Boolean {
        if (isWhole || hasKnownEnd(response)) return true
        hasCutAnswer = true
        return false
    }

    private fun hasKnownEnd(response: HttpClientResponse): Boolean {
        val codings = response.headers().getAll(HttpHeaders.TRANSFER_ENCODING)
        return response.request().method == HttpMethod.HEAD ||
            response.statusCode() in BODILESS ||
            response.headers().contains(HttpHeaders.CONTENT_LENGTH) ||
            codings.any { it.contains(HttpHeaders.CHUNKED, ignoreCase = true) }
    }

    companion object {
        /** The send buffer of a connection, whose content counts as written: the system's own may hold several MB. */
        const val SEND_BUFFER_BYTES = 256 * 1024
        private val BODILESS = setOf(204, 304)
    }
}
