package org.acaciaflow.daemon

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.name
import kotlin.io.path.readText
import kotlin.streams.asSequence

class ClockUseTest : AnnotationSpec() {
    private val wallClocks = listOf("Clock.System", "currentTimeMillis", "Instant.now", "LocalDateTime.now")

    /** The steady clock reads the time of day once; the operators' command stores the time of day in a record. */
    private val exceptions = setOf("SteadyClock.kt", "UnresolvedCommand.kt")

    @Test
    fun `no daemon follows steps of the time of day`() {
        val modules = listOf("state", "coordination", "protocol", "platform", "transport", "daemon")

        val readers = modules.flatMap { sources(it) }.filter { path -> wallClocks.any { it in path.readText() } }

        readers.map { it.name }.filterNot { it in exceptions }.shouldBeEmpty()
    }

    private fun sources(module: String): List<Path> =
        Files.walk(Path.of("..", module, "src", "main")).use { paths ->
            paths
                .asSequence()
                .filter { it.name.endsWith(".kt") }
                .toList()
        }
}
