package org.acaciaflow.daemon

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactly
import org.acaciaflow.coordination.event.EventKind
import org.acaciaflow.transport.observation.Meters
import java.nio.file.Files
import java.nio.file.Path

class EventCatalogueTest : AnnotationSpec() {
    @Test
    fun `the catalogue lists every event with its number and level`() {
        val listed = rows("EVENTS.md").map { row -> row.take(3).joinToString(" ") }

        val inCode = EventKind.entries.map { "AF${it.number} ${it.level.name.lowercase()} ${it.name}" }

        listed shouldContainExactly inCode
    }

    @Test
    fun `the list of meters names every meter`() {
        val listed = rows("METRICS.md").map { row -> row.first() }

        listed shouldContainExactly Meters.ALL
    }

    /** The cells of the table rows in a page of the docs folder, without its header rows. */
    private fun rows(page: String): List<List<String>> =
        Files
            .readAllLines(Path.of("..", "docs", page))
            .filter { it.startsWith("| ") }
            .drop(2)
            .map { line -> line.split('|').map { it.trim().trim('`') }.filter { it.isNotEmpty() } }
}
