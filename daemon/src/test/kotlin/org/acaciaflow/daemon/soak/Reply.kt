package org.acaciaflow.daemon.soak

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/**
 * An answer as a server writes it: [pieces] with a pause between one and the next.
 *
 * [requestId], [stamp] and [status] are what its head claims; they are null for bytes that are no answer.
 */
internal data class Reply(
    val requestId: String?,
    val stamp: String?,
    val status: Int?,
    val pieces: PersistentList<String>,
) {
    val text: String get() = pieces.joinToString("")

    /** The same bytes in one piece. */
    fun joined(): Reply = copy(pieces = persistentListOf(text))

    /** The same bytes in two pieces. */
    fun halved(): Reply = copy(pieces = persistentListOf(text.take(text.length / 2), text.drop(text.length / 2)))

    /** The bytes up to some characters before the end of the body or, in a stream, up to the middle of an event. */
    fun cut(): Reply =
        when (pieces.size) {
            1 -> copy(pieces = persistentListOf(pieces.single().dropLast(CUT_CHARACTERS)))
            else -> {
                val last = pieces[pieces.size / 2]
                copy(pieces = pieces.subList(0, pieces.size / 2).toPersistentList().add(last.take(last.length / 2)))
            }
        }

    private companion object {
        const val CUT_CHARACTERS = 9
    }
}

/** An answer with a body that is written at once; an absent [requestId] or [stamp] is left out of the head. */
internal fun reply(
    status: Int,
    requestId: String?,
    stamp: String?,
    body: String,
    fields: List<String> = emptyList(),
    framing: Framing = Framing.LENGTH,
): Reply {
    val (frame, framedBody) =
        when (framing) {
            Framing.LENGTH -> listOf("Content-Length: ${body.length}") to body
            Framing.CHUNKED -> listOf(CHUNKED) to chunk(body) + LAST_CHUNK
            Framing.UNTIL_CLOSE -> emptyList<String>() to body
        }
    val text = headText(status, requestId, stamp, fields + frame) + framedBody
    return Reply(requestId, stamp, status, persistentListOf(text))
}

/** An answer with status 200 that has the fields `Server-Stamp`, `Request-Id` and `Content-Length` only, in this order. */
internal fun bareSuccess(
    requestId: String,
    stamp: String,
    body: String,
): Reply {
    val fields = listOf("Server-Stamp: $stamp", "Request-Id: $requestId", "Content-Length: ${body.length}")
    return Reply(requestId, stamp, OK, persistentListOf(headText(OK, null, null, fields) + body))
}

/** An answer with status 200 whose body is a stream of [events], each in a chunk and a piece of its own. */
internal fun streamReply(
    requestId: String,
    stamp: String,
    events: List<String>,
    fields: List<String> = emptyList(),
): Reply {
    val head = headText(OK, requestId, stamp, fields + listOf("Content-Type: text/event-stream", CHUNKED))
    return Reply(requestId, stamp, OK, (listOf(head) + events.map(::chunk) + LAST_CHUNK).toPersistentList())
}

/** An interim answer with [status], which has no body. */
internal fun interimReply(status: Int): Reply =
    Reply(null, null, status, persistentListOf(headText(status, null, null, emptyList())))

/** Bytes that are no answer. */
internal val nonsense = Reply(null, null, null, persistentListOf("\u0016\u0003 no answer \r\n\r\n"))

private fun headText(
    status: Int,
    requestId: String?,
    stamp: String?,
    fields: List<String>,
): String {
    val claims = listOfNotNull(requestId?.let { "Request-Id: $it" }, stamp?.let { "Server-Stamp: $it" })
    return (listOf("HTTP/1.1 $status Answer") + claims + fields).joinToString("\r\n", postfix = "\r\n\r\n")
}

private fun chunk(text: String): String = text.length.toString(HEXADECIMAL) + "\r\n$text\r\n"

private const val OK = 200
private const val HEXADECIMAL = 16
private const val CHUNKED = "Transfer-Encoding: chunked"
private const val LAST_CHUNK = "0\r\n\r\n"
