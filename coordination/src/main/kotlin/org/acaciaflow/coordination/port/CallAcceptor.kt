package org.acaciaflow.coordination.port

/** Accepts the calls that a front end has read and answers each of them. */
fun interface CallAcceptor {
    suspend fun accept(exchange: CallerExchange)
}
