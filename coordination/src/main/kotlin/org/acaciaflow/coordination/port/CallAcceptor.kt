package org.acaciaflow.coordination.port

/** Takes the calls that a front end has read, and sees to it that each is answered. */
fun interface CallAcceptor {
    suspend fun accept(exchange: CallerExchange)
}
