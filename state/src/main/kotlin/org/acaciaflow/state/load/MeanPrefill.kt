package org.acaciaflow.state.load

/**
 * The mean prefill of the requests of one route.
 *
 * [tokens] counts uncached prompt tokens, with the cost of attention included; [samples] is the number of requests that
 * it was learned from, up to the number after which old requests are forgotten.
 */
data class MeanPrefill(
    val tokens: Double,
    val samples: Int,
)
