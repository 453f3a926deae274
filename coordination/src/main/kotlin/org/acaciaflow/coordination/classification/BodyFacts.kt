package org.acaciaflow.coordination.classification

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.work.RequestDigest
import org.acaciaflow.state.work.WorkEstimate

/**
 * What a protocol reader found in the buffered body.
 *
 * [fields] holds the top-level fields as text. [estimate] and [prefix] are set for completion requests.
 */
data class BodyFacts(
    val fields: PersistentMap<String, String>,
    val estimate: WorkEstimate?,
    val prefix: RequestDigest?,
) {
    companion object {
        /** A body in which no field can be read. */
        val OPAQUE = BodyFacts(persistentMapOf(), estimate = null, prefix = null)
    }
}
