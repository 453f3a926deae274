package org.acaciaflow.coordination.classification

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.work.RequestDigest
import org.acaciaflow.state.work.WorkEstimate

/**
 * Properties of a call that a [BodyReader] extracted from the buffered body.
 *
 * [fields] holds the top-level fields as text. [estimate] and [prefix] are set only for completion requests.
 */
data class BodyFacts(
    val fields: PersistentMap<String, String>,
    val estimate: WorkEstimate?,
    val prefix: RequestDigest?,
) {
    companion object {
        /** Facts about a body that cannot be parsed. */
        val OPAQUE = BodyFacts(persistentMapOf(), estimate = null, prefix = null)
    }
}
