package org.acaciaflow.daemon.soak

import java.io.ByteArrayOutputStream
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketTimeoutException

/** A caller's connection to a gateway, on which exactly what comes is read, one byte one character. */
internal class CallerConnection(
    val address: InetSocketAddress,
) : AutoCloseable {
    private val socket = Socket().apply { connect(address, CONNECT_MILLISECONDS) }
    private val buffer = ByteArray(BUFFER_BYTES)
    private var position = 0
    private var limit = 0
    private var deadline = 0L

    /** False after an answer behind which no request may follow. */
    var isReusable = true
        private set

    /** Writes the [pieces] of a request with a pause between one and the next. */
    fun send(pieces: List<String>) {
        isReusable = false
        pieces.forEachIndexed { index, piece ->
            if (index > 0) Thread.sleep(PIECE_PAUSE_MILLISECONDS)
            socket.getOutputStream().write(piece.toByteArray(Charsets.ISO_8859_1))
        }
    }

    /** Returns bytes that have come although no request waits; null if the gateway has closed the connection. */
    fun bytesWithoutRequest(): String? {
        deadline = System.nanoTime() + NANOSECONDS_PER_MILLISECOND
        val bytes = StringBuilder()
        return try {
            while (bytes.length < BUFFER_BYTES) {
                val next = read()
                if (next < 0) return bytes.toString().ifEmpty { null }
                bytes.append(next.toChar())
            }
            bytes.toString()
        } catch (_: SocketTimeoutException) {
            bytes.toString()
        } catch (_: IOException) {
            null
        }
    }

    /** Waits for an answer, at most [patienceMilliseconds] in all. */
    fun readAnswer(patienceMilliseconds: Long): CallOutcome {
        deadline = System.nanoTime() + patienceMilliseconds * NANOSECONDS_PER_MILLISECOND
        return try {
            var head = readHead() ?: return CallOutcome.Unanswered("closed before the end of a head")
            while (head.isInterim) head = readHead() ?: return CallOutcome.Unanswered("closed after an interim answer")
            if (head.status ==
                null
            ) {
                CallOutcome.Malformed(head.lines.joinToString("\\n"))
            } else {
                readBody(head, head.status)
            }
        } catch (_: SocketTimeoutException) {
            CallOutcome.Unanswered("left after $patienceMilliseconds ms")
        } catch (fault: IOException) {
            CallOutcome.Unanswered("no answer: ${fault.message}")
        }
    }

    override fun close() = socket.close()

    private fun readBody(
        head: AnswerHead,
        status: Int,
    ): CallOutcome {
        val body = ByteArrayOutputStream()
        val whole =
            try {
                when {
                    head.field("Transfer-Encoding") == "chunked" -> readChunks(body)
                    head.length != null -> readExactly(head.length, body)
                    else -> readToEnd(body)
                }
            } catch (_: IOException) {
                false // reset, or the caller has left
            }
        val closes = head.field("Connection").equals("close", ignoreCase = true)
        isReusable = whole && !closes && head.hasEnd
        val text = body.toString(Charsets.ISO_8859_1)
        return CallOutcome.Answered(status, head.field("Request-Id"), head.field("Server-Stamp"), text, whole)
    }

    private fun readChunks(body: ByteArrayOutputStream): Boolean {
        while (true) {
            val size = readLine()?.substringBefore(';')?.trim()?.toIntOrNull(HEXADECIMAL) ?: return false
            if (!readExactly(size, body) || readLine() == null) return false
            if (size == 0) return true
        }
    }

    private fun readExactly(
        length: Int,
        body: ByteArrayOutputStream,
    ): Boolean {
        repeat(length) {
            val next = read()
            if (next < 0) return false
            body.write(next)
        }
        return true
    }

    private fun readToEnd(body: ByteArrayOutputStream): Boolean {
        while (true) {
            val next = read()
            if (next < 0) return true
            body.write(next)
        }
    }

    private fun readHead(): AnswerHead? {
        val lines = mutableListOf<String>()
        while (true) {
            val line = readLine() ?: return null
            if (line.isEmpty()) return AnswerHead(lines.toList())
            lines += line
        }
    }

    private fun readLine(): String? {
        val line = StringBuilder()
        while (true) {
            val next = read()
            if (next < 0) return null
            if (next == '\n'.code) return line.removeSuffix("\r").toString()
            line.append(next.toChar())
        }
    }

    private fun read(): Int {
        if (position == limit) {
            val left = (deadline - System.nanoTime()) / NANOSECONDS_PER_MILLISECOND
            if (left < 0) throw SocketTimeoutException()
            socket.soTimeout = left.toInt().coerceAtLeast(1)
            limit = socket.getInputStream().read(buffer)
            position = 0
            if (limit < 0) {
                limit = 0
                return -1
            }
        }
        return buffer[position++].toInt() and BYTE
    }

    private class AnswerHead(
        val lines: List<String>,
    ) {
        /** Null if the first line is not that of an answer. */
        val status: Int? = STATUS_LINE.find(lines.firstOrNull().orEmpty())?.run { groupValues[1].toInt() }
        val isInterim = status in INTERIM
        val length: Int? = field("Content-Length")?.toInt()
        val hasEnd: Boolean = length != null || field("Transfer-Encoding") == "chunked"

        fun field(name: String): String? =
            lines.firstOrNull { it.startsWith("$name:", ignoreCase = true) }?.substringAfter(':')?.trim()
    }

    private companion object {
        const val CONNECT_MILLISECONDS = 1_000
        const val BUFFER_BYTES = 8_192
        const val PIECE_PAUSE_MILLISECONDS = 5L
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
        const val HEXADECIMAL = 16
        const val BYTE = 0xff
        val INTERIM = 100..199
        val STATUS_LINE = Regex("^HTTP/1\\.[01] ([0-9]{3})( |$)")
    }
}
