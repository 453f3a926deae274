package org.acaciaflow.protocol.peer

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.state.crash.CrashSubject
import org.acaciaflow.state.peer.ReportedCrash
import org.acaciaflow.state.peer.ReportedServed
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Returns the crashes in [message]; entries of unknown kinds, from later releases, are left out. */
internal fun crashesOf(message: PeerMessage): PersistentList<ReportedCrash> =
    message.crashSubjects
        .mapIndexedNotNull { index, code ->
            subjectOf(message.crashKinds.getOrElse(index) { CrashSubjectCode.REQUEST }, code)?.let {
                ReportedCrash(it, message.crashLives[index], ageOf(message.crashAgesMilliseconds, index))
            }
        }.toPersistentList()

/** Returns the served subjects in [message]; entries of unknown kinds, from later releases, are left out. */
internal fun servedOf(message: PeerMessage): PersistentList<ReportedServed> =
    message.servedSubjects
        .mapIndexedNotNull { index, code ->
            subjectOf(message.servedKinds[index], code)?.let {
                ReportedServed(it, ageOf(message.servedAgesMilliseconds, index))
            }
        }.toPersistentList()

/** The code of the kind of [subject]. */
internal fun kindCodeOf(subject: CrashSubject): Int =
    when (subject) {
        is CrashSubject.Request -> CrashSubjectCode.REQUEST
        is CrashSubject.Part -> CrashSubjectCode.PART
    }

/** The number that identifies [subject] among those of its kind. */
internal fun numberOf(subject: CrashSubject): Long =
    when (subject) {
        is CrashSubject.Request -> subject.digest
        is CrashSubject.Part -> subject.key
    }

private fun subjectOf(
    kind: Int,
    number: Long,
): CrashSubject? =
    when (kind) {
        CrashSubjectCode.REQUEST -> CrashSubject.Request(number)
        CrashSubjectCode.PART -> CrashSubject.Part(number)
        else -> null
    }

private fun ageOf(
    agesMilliseconds: List<Int>,
    index: Int,
): Duration = agesMilliseconds.getOrElse(index) { 0 }.coerceAtLeast(0).milliseconds
