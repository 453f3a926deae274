package org.acaciaflow.protocol.http

import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.HeaderField

/**
 * Decides whether an answer's head is the head of one answer.
 *
 * When a sender breaks off within a head and then writes another answer on the same connection, the rest of the line ends
 * the line that was cut, and both heads are read as one.
 */
object AnswerIntegrity {
    /** Returns true if [head], whose status line ends with [reasonPhrase], is the head of one answer, not an interim one. */
    fun isAnswer(
        head: AnswerHead,
        reasonPhrase: String,
    ): Boolean = AnswerStatus.of(head.status) == AnswerStatus.FINAL && isOneHead(head, reasonPhrase)

    /**
     * Returns true if [head], whose status line ends with [reasonPhrase], is the head of one answer or interim answer.
     *
     * It has each of [singleFields], in lower case, and the length of its body once at most.
     */
    fun isOneHead(
        head: AnswerHead,
        reasonPhrase: String,
        singleFields: Set<String> = emptySet(),
    ): Boolean {
        val names = head.headers.map { it.name.lowercase() }.filter { it == CONTENT_LENGTH || it in singleFields }
        return AnswerStatus.of(head.status) != AnswerStatus.NONE &&
            names.size == names.distinct().size &&
            !STATUS_LINE.containsMatchIn(reasonPhrase) &&
            head.headers.none(::hasStatusLine)
    }

    /** Returns true if [trailers] are the trailers of an answer, and hold nothing of another answer's head. */
    fun areTrailers(
        trailers: List<HeaderField>,
        singleFields: Set<String>,
    ): Boolean = trailers.none { it.name.lowercase() in singleFields || hasStatusLine(it) }

    /** Returns true if [bodyEnd], the end of a body behind which bytes follow that are no answer, may start another answer. */
    fun endsWithAnswer(bodyEnd: String): Boolean =
        START in bodyEnd || (1 until START.length).any { bodyEnd.endsWith(START.take(it)) }

    private fun hasStatusLine(field: HeaderField): Boolean =
        STATUS_LINE.containsMatchIn(field.name) || STATUS_LINE.containsMatchIn(field.value)

    private const val START = "HTTP/1."
    private const val CONTENT_LENGTH = "content-length"
    private val STATUS_LINE = Regex("HTTP/[0-9]\\.[0-9] [0-9]{3}")
}
