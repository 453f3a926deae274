package org.acaciaflow.coordination.configuration

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import org.acaciaflow.state.configuration.Configuration

class ConfigurationAdoptionTest : AnnotationSpec() {
    @Test
    suspend fun `the highest revision is in force and never reverts in any order of arrival`() {
        val config = PropTestConfig(seed = SEED)
        println("seed $SEED")

        checkAll(config, Arb.list(Arb.long(1L..20L), 1..30)) { offered ->
            val states =
                offered.runningFold(Configuration.EMPTY) { current, revision ->
                    ConfigurationAdoption.adopt(current, Configuration.EMPTY.copy(revision = revision)).state
                }

            states.zipWithNext().all { (before, after) -> after.revision >= before.revision } shouldBe true
            states.last().revision shouldBe offered.max()
        }
    }

    private companion object {
        const val SEED = 4203L
    }
}
