package org.acaciaflow.daemon

import com.github.ajalt.clikt.core.main
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class CommandLineTest : AnnotationSpec() {
    @Test
    fun `a missing settings file exits with status 2`() {
        statusOf("gateway", "--settings", "missing.ini") shouldBe 2
    }

    @Test
    fun `an unknown command exits with status 1`() {
        statusOf("nonsense") shouldBe 1
    }

    @Test
    fun `a missing option exits with status 1`() {
        statusOf("engine", "assign", "--pool", "models") shouldBe 1
    }

    @Test
    fun `an unreachable store exits with status 4`() {
        statusOf("unresolved", "--store", "127.0.0.1:1") shouldBe 4
    }

    private fun statusOf(vararg arguments: String): Int? {
        var status: Int? = null
        val commandLine = createCommandLine { if (status == null) status = it }
        commandLine.main(arguments.toList())
        return status
    }
}
