package org.acaciaflow.protocol.http

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.state.connection.AnswerForm
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.HeaderField

class AnswerFormsTest : AnnotationSpec() {
    /** Guards against like answers that seem to have different forms. */
    @Test
    fun `answers that differ in framing, connection, time and values have one form`() {
        val first = formOf("Server-Stamp: a", "Content-Length: 2", "Request-Id: 1", "Keep-Alive: timeout=4")
        val second =
            formOf(
                "server-stamp: b",
                "Date: now",
                "Transfer-Encoding: chunked",
                "Connection: x-hop",
                "X-Hop: 1",
                "request-id: 2",
            )

        second shouldBe first
        second.fingerprint shouldBe first.fingerprint
        first.toString() shouldBe "200:server-stamp,request-id"
    }

    /** Guards against second answers that can't be told from true ones by their heads. */
    @Test
    fun `answers that differ in status, names or order have different forms`() {
        val forms =
            listOf(
                formOf("Server-Stamp: a", "Request-Id: 1"),
                formOf("Request-Id: 1", "Server-Stamp: a"),
                formOf("Server-Stamp: a", "Content-Type: text/plain", "Request-Id: 1"),
                formOf("Server-Stamp: a", "Request-Id: 1", status = 204),
            )

        forms.map { it.fingerprint }.distinct().size shouldBe forms.size
        forms[0] shouldNotBe forms[1]
    }

    /** Guards against log lines as long as a head with thousands of fields. */
    @Test
    fun `a long form is shortened for the log`() {
        val fields = List(2000) { "Field-$it: x" }.toTypedArray()

        "${formOf(*fields)}".length shouldBeLessThan 200
    }

    private fun formOf(
        vararg fields: String,
        status: Int = 200,
    ): AnswerForm =
        answerFormOf(
            AnswerHead(
                status,
                fields.map { HeaderField(it.substringBefore(": "), it.substringAfter(": ")) }.toPersistentList(),
            ),
        )
}
