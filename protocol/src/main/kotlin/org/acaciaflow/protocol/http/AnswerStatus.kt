package org.acaciaflow.protocol.http

/** What the status of an answer's head says about its place. */
enum class AnswerStatus {
    /** The answer itself is still to come. */
    INTERIM,

    /** The answer itself. */
    FINAL,

    /** No answer; so is a change of protocols, since none is asked for. */
    NONE,
    ;

    companion object {
        private const val SWITCHING_PROTOCOLS = 101
        private val INTERIM_STATUSES = 100..199
        private val FINAL_STATUSES = 200..599

        /** Returns what [status] says. */
        fun of(status: Int): AnswerStatus =
            when (status) {
                SWITCHING_PROTOCOLS -> NONE
                in INTERIM_STATUSES -> INTERIM
                in FINAL_STATUSES -> FINAL
                else -> NONE
            }
    }
}
