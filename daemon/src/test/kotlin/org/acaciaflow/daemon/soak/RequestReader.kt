package org.acaciaflow.daemon.soak

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableMap
import java.io.BufferedInputStream
import java.io.InputStream

/** The head of a request; the names of [fields] are in lowercase. */
internal data class RequestHead(
    val method: String,
    val target: String,
    val fields: ImmutableMap<String, String>,
) {
    fun field(name: String): String? = fields[name.lowercase()]
}

/** The body of a request; [isWhole] is false if the connection ended before it did. */
internal data class RequestBody(
    val text: String,
    val isWhole: Boolean,
)

/** Reads the requests of one connection, one byte one character. */
internal class RequestReader(
    stream: InputStream,
) {
    private val input = BufferedInputStream(stream)
    private var atEnd = false

    /** Waits for the next request and returns its head; null if the connection ends before the end of the head. */
    fun readHead(): RequestHead? {
        val lines = generateSequence { readLine() }.takeWhile { it.isNotEmpty() }.toList()
        if (lines.isEmpty() || atEnd) return null
        val (method, target) = lines.first().split(' ')
        val fields = lines.drop(1).map { it.split(':', limit = 2).map(String::trim) }
        val byName = fields.associate { (name, value) -> name.lowercase() to value }
        return RequestHead(method, target, byName.toImmutableMap())
    }

    /** Reads the body that follows [head]. */
    fun readBody(head: RequestHead): RequestBody =
        if (head.field("Transfer-Encoding") == "chunked") {
            readChunks()
        } else {
            readExactly(head.field("Content-Length")?.toInt() ?: 0)
        }

    /** Waits until the other end closes the connection. */
    fun awaitEnd() {
        while (input.read() >= 0) input.skip(input.available().toLong())
    }

    private fun readChunks(): RequestBody {
        val text = StringBuilder()
        while (true) {
            val size = readLine()?.substringBefore(';')?.trim()?.toInt(HEXADECIMAL)
            val chunk = readExactly(size ?: 0)
            text.append(chunk.text)
            val isWhole = chunk.isWhole && readLine() != null
            if (!isWhole || size == 0) return RequestBody(text.toString(), isWhole)
        }
    }

    private fun readExactly(length: Int): RequestBody {
        val bytes = input.readNBytes(length)
        return RequestBody(bytes.toString(Charsets.ISO_8859_1), bytes.size == length)
    }

    /** Reads up to the end of the line; null if the connection ends first. */
    private fun readLine(): String? {
        val line = StringBuilder()
        while (!line.endsWith("\r\n")) {
            val next = input.read()
            if (next < 0) {
                atEnd = true
                return null
            }
            line.append(next.toChar())
        }
        return line.dropLast(2).toString()
    }

    private companion object {
        const val HEXADECIMAL = 16
    }
}
