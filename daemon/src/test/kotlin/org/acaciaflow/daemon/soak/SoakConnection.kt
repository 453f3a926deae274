package org.acaciaflow.daemon.soak

import kotlinx.collections.immutable.persistentListOf
import java.net.Socket

/**
 * A connection of the server [instance], whose writings go to the account of [run].
 *
 * Whole answers are written under a lock, so that a second answer never comes inside another answer, and the account
 * has the writings in the order in which the connection got them.
 */
internal class SoakConnection(
    private val socket: Socket,
    private val instance: String,
    private val run: SoakRun,
) {
    private var due = persistentListOf<Reply>()

    val number = run.newConnection()
    val reader = RequestReader(socket.getInputStream())

    /** Writes [reply] as [kind], silent for [silenceMilliseconds] halfway, and [second] in one write with its last piece. */
    @Synchronized
    fun write(
        reply: Reply,
        kind: WritingKind,
        second: Reply? = null,
        silenceMilliseconds: Long = 0,
    ) {
        if (silenceMilliseconds > 0 && reply.pieces.size == 1) {
            return write(reply.halved(), kind, second, silenceMilliseconds)
        }
        reply.pieces.forEachIndexed { index, piece ->
            val isLast = index == reply.pieces.lastIndex
            if (index > 0) Thread.sleep(PIECE_PAUSE_MILLISECONDS)
            if (index == reply.pieces.size / 2) Thread.sleep(silenceMilliseconds)
            send(if (isLast) piece + second?.text.orEmpty() else piece)
            if (index == 0) record(reply, kind)
        }
        second?.let { record(it, WritingKind.SECOND_ANSWER) }
    }

    /** Keeps the second answer [reply] until the next request of this connection is in. */
    @Synchronized
    fun keepForNextRequest(reply: Reply) {
        due = due.add(reply)
    }

    /** Writes the second answers that were kept for the request that has come in. */
    @Synchronized
    fun writeKept() {
        due.forEach { write(it, WritingKind.SECOND_ANSWER) }
        due = persistentListOf()
    }

    /** Closes the connection so that the other end sees a reset. */
    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    private fun send(text: String) {
        socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
    }

    private fun record(
        reply: Reply,
        kind: WritingKind,
    ) = run.account.wrote(
        ServerWriting(instance, number, kind, reply.requestId, reply.stamp, reply.status, run.clock()),
    )

    private companion object {
        const val PIECE_PAUSE_MILLISECONDS = 3L
    }
}
