package org.acaciaflow.daemon.soak

/** A rule of the platform that was broken for the request [requestId]; [reason] says how. */
internal sealed interface Breach {
    val requestId: String
    val reason: String

    /** A caller got an answer that is not the one that the server gave to its request. */
    data class Mixed(
        override val requestId: String,
        override val reason: String,
        /** True if the server itself wrote the wrong answer first, so that no gateway could tell it from the true one. */
        val causedByServer: Boolean,
    ) : Breach

    /** A server got a request that no caller sent, or got it changed. */
    data class Unasked(
        override val requestId: String,
        override val reason: String,
    ) : Breach

    /** A request that may run at most once has run more than once. */
    data class Twice(
        override val requestId: String,
        override val reason: String,
    ) : Breach

    /** A request that may run at most once was answered as not run, and has run. */
    data class Refused(
        override val requestId: String,
        override val reason: String,
    ) : Breach

    /** The events of a stream are incomplete, repeated or out of order. */
    data class Order(
        override val requestId: String,
        override val reason: String,
        /** As for [Mixed]. */
        val causedByServer: Boolean,
    ) : Breach
}

/** The rule's name on the platform's pages; breaches that the server alone caused are counted under a name of their own. */
internal val Breach.rule: String
    get() =
        when (this) {
            is Breach.Mixed -> if (causedByServer) "MIXED-BY-SERVER" else "MIXED"
            is Breach.Unasked -> "UNASKED"
            is Breach.Twice -> "TWICE"
            is Breach.Refused -> "REFUSED"
            is Breach.Order -> if (causedByServer) "ORDER-BY-SERVER" else "ORDER"
        }

/** True if a gateway could have avoided the breach. */
internal val Breach.isOurs: Boolean
    get() =
        when (this) {
            is Breach.Mixed -> !causedByServer
            is Breach.Order -> !causedByServer
            is Breach.Unasked, is Breach.Twice, is Breach.Refused -> true
        }
