package org.acaciaflow.daemon.soak

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/** A second answer to an arrival, beside the true one. */
internal data class Stutter(
    val moment: StutterMoment,
    val content: StutterContent,
)

/** When a second answer is written. */
internal sealed interface StutterMoment {
    /** At once after the true answer, in a write of its own. */
    data object AtOnce : StutterMoment

    /** In one write with the (end of the) true answer. */
    data object SameWrite : StutterMoment

    /** [milliseconds] after the true answer, whether or not the next request is in, but never inside another answer. */
    data class Later(
        val milliseconds: Long,
    ) : StutterMoment

    /**
     * [milliseconds] after the request has arrived, whether or not the true answer is written by then, but never inside
     * another answer. It comes first if the true answer takes longer, and alone if that one is never written.
     */
    data class AfterArrival(
        val milliseconds: Long,
    ) : StutterMoment

    /** When the connection's next request is in, before the true answer to that one. */
    data object WithNextRequest : StutterMoment
}

/** What a second answer is. All but [WithoutId] have the id and stamp of the arrival. */
internal sealed interface StutterContent {
    /** 200 with a body of two bytes. */
    data object SmallSuccess : StutterContent

    /** The bytes of the true answer again. */
    data object ExactCopy : StutterContent

    /** 200 with the whole body that the run has or would have had, also where the true answer is a failure. */
    data object WholeSuccess : StutterContent

    /** 500, also where the true answer is a success. */
    data object Failure : StutterContent

    /** 200 with a whole event stream, also where the request was no call for one. */
    data object EventStream : StutterContent

    /** 200 with a body of two bytes, without an id. */
    data object WithoutId : StutterContent

    /** 200 with a body that is drawn for the arrival and is not that of the true answer. */
    data class OwnBody(
        val head: OwnHead,
        val length: OwnLength,
    ) : StutterContent
}

/** The head of a second answer with a body of its own. */
internal enum class OwnHead {
    /** The fields of a true success of the plain service, in their order. */
    TRUE_FORM,

    /** `Server-Stamp`, `Request-Id` and `Content-Length` only. */
    BARE,
}

/** The length of a second answer's own body. */
internal enum class OwnLength {
    /** Two bytes. */
    SHORT,

    /** As long as the body that the run has or would have had. */
    FULL,
}

/** The moments that a [FaultMix] can switch on. */
internal enum class StutterMomentKind {
    AT_ONCE,
    SAME_WRITE,
    LATER,
    WITH_NEXT_REQUEST,
    AFTER_ARRIVAL,

    /** Like [AFTER_ARRIVAL], within a shorter range of times. */
    SOON_AFTER_ARRIVAL,
}

/** The moments that are counted from the true answer: there the second answer never comes first. */
internal val MOMENTS_BEHIND_TRUE_ANSWER: PersistentList<StutterMomentKind> =
    StutterMomentKind.entries
        .minus(setOf(StutterMomentKind.AFTER_ARRIVAL, StutterMomentKind.SOON_AFTER_ARRIVAL))
        .toPersistentList()
