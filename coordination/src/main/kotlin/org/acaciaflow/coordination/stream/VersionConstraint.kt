package org.acaciaflow.coordination.stream

import org.acaciaflow.state.identity.SoftwareVersion

/** The software versions of the servers that a request may be sent to. */
sealed interface VersionConstraint {
    /** Returns true if the request may be sent to a server with [version]. */
    fun allows(version: SoftwareVersion): Boolean

    /** The caller has no part of the answer yet. */
    data object Any : VersionConstraint {
        override fun allows(version: SoftwareVersion): Boolean = true
    }

    /** The caller has events that a server with [version] wrote. */
    data class Only(
        val version: SoftwareVersion,
    ) : VersionConstraint {
        override fun allows(version: SoftwareVersion): Boolean = version == this.version
    }
}
