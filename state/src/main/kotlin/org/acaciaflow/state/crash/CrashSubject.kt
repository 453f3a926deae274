package org.acaciaflow.state.crash

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.acaciaflow.state.prompt.Prompt
import org.acaciaflow.state.prompt.promptPartKeyText

/** Something in a request that may make the backend servers crash that start on it. */
sealed interface CrashSubject {
    /** The whole request, by the fingerprint of its method, target and body. */
    data class Request(
        val digest: Long,
    ) : CrashSubject

    /** A prompt part that several requests may share, by its cache key. */
    data class Part(
        val key: Long,
    ) : CrashSubject {
        override fun toString(): String = "Part(key=${promptPartKeyText(key)})"
    }
}

/** Returns the subjects of a request with [digest]; the last part of [prompt] is covered by the request itself. */
fun crashSubjectsOf(
    digest: Long,
    prompt: Prompt?,
): PersistentList<CrashSubject> =
    persistentListOf<CrashSubject>(CrashSubject.Request(digest))
        .addAll(prompt?.sharedParts.orEmpty().map { CrashSubject.Part(it.key) })
