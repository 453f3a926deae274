package org.acaciaflow.coordination.connection

/** Why a connection to a backend server was closed. */
enum class ConnectionCloseReason(
    val code: String,
) {
    /** It was to carry a request whose id it has carried. */
    REQUEST_REPEATED("request-repeated"),

    /** It has carried as many requests as one connection may. */
    REQUESTS_EXHAUSTED("requests-exhausted"),

    /** It has carried a request, and its server gets a connection for each one. */
    SERVER_ISOLATED("server-isolated"),

    /** Its server may get no new work by the time that it was there. */
    SENDING_DENIED("sending-denied"),

    /** It brought an answer that is not the one to the request in progress. */
    ANSWER_FOREIGN("answer-foreign"),

    /** It brought a success without a signature. */
    ANSWER_UNSIGNED("answer-unsigned"),

    /** It brought a success that is not the event stream that was asked for. */
    ANSWER_NO_STREAM("answer-no-stream"),

    /** It brought an answer while no request was in progress. */
    ANSWER_UNREQUESTED("answer-unrequested"),

    /** Its server has contradicted the success that it answered with. */
    ANSWER_CONTRADICTED("answer-contradicted"),

    /** It brought a late answer that could not be skipped. */
    LATE_ANSWER_UNREADABLE("late-answer-unreadable"),

    /** The request in progress was given up before its answer was complete. */
    REQUEST_ABANDONED("request-abandoned"),

    /** It brought bytes that are no answer. */
    ANSWER_MALFORMED("answer-malformed"),

    /** It was reset, or failed otherwise. */
    CONNECTION_FAILED("connection-failed"),

    /** Its server closed it, or it was idle for too long. */
    ENDED("ended"),
}
