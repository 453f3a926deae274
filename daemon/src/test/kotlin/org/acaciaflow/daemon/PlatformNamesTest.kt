package org.acaciaflow.daemon

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.name
import kotlin.io.path.readText
import kotlin.streams.asSequence

class PlatformNamesTest : AnnotationSpec() {
    private val names =
        listOf(
            "Kv-Source",
            "Expect-Instance",
            "Server-Stamp",
            "kv-txn",
            "ACACIAFLOW_NODE_FILE",
            "Not-Executed",
            "Server-Leaving",
            "op/config",
        )

    @Test
    fun `only the platform module contains the platform's names`() {
        val leaks =
            sources(listOf("state", "coordination", "protocol", "transport", "daemon")).filter { (_, text) ->
                names.any {
                    it in
                        text
                }
            }

        leaks.map { it.first.name }.shouldBeEmpty()
    }

    @Test
    fun `the platform module has no shared tables, timers or background jobs`() {
        val coordinationConstructs = listOf("SharedTable", "delay(", "launch", "while (isActive")

        val found = sources(listOf("platform")).filter { (_, text) -> coordinationConstructs.any { it in text } }

        found.map { it.first.name }.shouldBeEmpty()
    }

    private fun sources(modules: List<String>): List<Pair<Path, String>> =
        modules.flatMap { module ->
            Files.walk(Path.of("..", module, "src", "main")).use { paths ->
                paths
                    .asSequence()
                    .filter { it.name.endsWith(".kt") }
                    .map { it to it.readText() }
                    .toList()
            }
        }
}
