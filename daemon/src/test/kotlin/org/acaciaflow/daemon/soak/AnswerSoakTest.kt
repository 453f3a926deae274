package org.acaciaflow.daemon.soak

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import java.nio.file.Path

/**
 * Runs real gateways between seeded callers and servers that fail, answer twice and come and go.
 *
 * `soak.sh` runs it with other seeds and sizes.
 */
class AnswerSoakTest : AnnotationSpec() {
    @Test
    fun `no caller gets an answer that the servers did not give to its request`() {
        val breached =
            seeds().filter { seed ->
                val result = playSoak(shape(seed))
                println(summaryOf(result))
                if (result.breaches.isNotEmpty()) println(keepFailed(result, folder))
                result.breaches.any { it.isOurs }
            }

        breached.shouldBeEmpty()
    }

    private fun shape(seed: Long): SoakShape =
        SoakShape(
            seed = seed,
            mix = soakMix(property("mix", SoakMix.STUTTER_AND_FAILURES.text)),
            seconds = property("seconds", "20").toInt(),
            gateways = property("gateways", "2").toInt(),
            callers = property("callers", "30").toInt(),
        )

    private fun seeds(): LongRange {
        val bounds = property("seeds", "1").split('-').map { it.toLong() }
        return bounds.first()..bounds.last()
    }

    private val folder: Path get() = Path.of(property("output", "target/soak")).toAbsolutePath()

    private fun property(
        name: String,
        default: String,
    ): String = System.getProperty("soak.$name")?.ifEmpty { null } ?: default
}
