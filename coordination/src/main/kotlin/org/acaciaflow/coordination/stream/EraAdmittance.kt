package org.acaciaflow.coordination.stream

import org.acaciaflow.coordination.store.StoreEraTracker
import org.acaciaflow.state.store.StoreEra
import kotlin.time.Clock

/** Says which era an answer of the store that arrives now belongs to. */
internal class EraAdmittance(
    private val eras: StoreEraTracker,
    private val clock: Clock,
) {
    /** The era that an answer of [answered] belongs to; null for one of a past era, which counts as a failure. */
    fun admit(answered: StoreEra): StoreEra? = eras.admit(answered, clock.now())
}
