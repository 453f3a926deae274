package org.acaciaflow.transport.direct

import java.io.OutputStream
import java.util.concurrent.ConcurrentHashMap

/**
 * A server that answers its requests with [answers] in turn.
 *
 * On a connection that carries another request, it first writes its answer to the request before once more.
 */
internal fun repeatingBackend(vararg answers: String): RawBackend {
    val earlier = ConcurrentHashMap<OutputStream, String>()
    return RawBackend { output, _, number ->
        val answer = answers[(number - 1).coerceAtMost(answers.lastIndex)]
        earlier.put(output, answer)?.let { write(output, it) }
        write(output, answer)
    }
}

/** The bytes of an answer with [status], the header lines [headers] and [body]. */
internal fun answerBytes(
    status: Int,
    body: String = "",
    vararg headers: String,
): String {
    val lines = listOf("HTTP/1.1 $status Status", "Content-Length: ${body.length}") + headers
    return lines.joinToString("\r\n") + "\r\n\r\n" + body
}
