package org.acaciaflow.transport.direct

import org.acaciaflow.coordination.connection.AnswerHold
import org.acaciaflow.coordination.connection.AnsweredRequest
import org.acaciaflow.coordination.connection.ConnectionObserver
import org.acaciaflow.coordination.connection.PlainSuccess
import org.acaciaflow.coordination.connection.SuccessLine
import org.acaciaflow.coordination.connection.SuccessLines
import org.acaciaflow.state.connection.PoolTroubles
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.lock.LockOrder
import org.acaciaflow.state.table.SharedTable
import org.acaciaflow.state.table.createSharedTable
import kotlin.time.Clock

/** Writes the lines of [SuccessLines] to the log. */
internal class ObservedSuccesses private constructor(
    private val table: SharedTable<PoolTroubles>,
    private val observer: ConnectionObserver,
    private val clock: Clock,
) {
    /** Notes that a server of [pool] failed, answered twice or broke an answer off. */
    fun troubleSeen(pool: PoolName) {
        val now = clock.now()
        table.update { SuccessLines.troubleSeen(it, pool, now) }
    }

    /**
     * Notes that [answered], the answer to [call] with a body of [length] bytes, is passed on.
     *
     * [bytesRead] bytes arrived since the sending. It was held before if [isHeld].
     */
    fun ended(
        call: SentCall,
        answered: AnsweredRequest,
        length: Long,
        bytesRead: Long,
        isHeld: Boolean,
    ) {
        when {
            AnswerHold.isPlainSuccess(call.order, call.purpose, answered) ->
                passedOn(PlainSuccess(answered, call.order.attempt, length, bytesRead, isHeld))

            answered.status >= LOWEST_SERVER_ERROR && !answered.isRefusal -> troubleSeen(answered.pool)
        }
    }

    private fun passedOn(success: PlainSuccess) {
        val now = clock.now()
        val line = table.transition { SuccessLines.decide(it, success.answered.pool, now) }
        when (line) {
            is SuccessLine.Written -> observer.passedOn(success, line.leftOut, now)
            SuccessLine.LeftOut, SuccessLine.NotNeeded -> Unit
        }
    }

    companion object {
        /** Creates the table of a gateway that has seen no trouble. */
        fun create(
            observer: ConnectionObserver,
            clock: Clock,
        ): ObservedSuccesses {
            val table = createSharedTable(LockOrder.POOL_TROUBLES, PoolTroubles.NONE)
            return ObservedSuccesses(table, observer, clock)
        }

        private const val LOWEST_SERVER_ERROR = 500
    }
}
