package org.acaciaflow.daemon.limit

import java.io.IOException
import java.net.Socket
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.readLines

/** Tells which of this machine's processes holds the other end of a connection, by the system's tables of sockets. */
internal object SocketOwners {
    /** The id among [processIds] of the process that connected [socket]; null if none of them holds its other end. */
    fun ownerOf(
        socket: Socket,
        processIds: Collection<Long>,
    ): Long? {
        repeat(TRIES) {
            find(socket, processIds)?.let { return it }
            Thread.sleep(PAUSE_MILLISECONDS) // a table that changes while it is read may lack an entry
        }
        println("no owner among $processIds of $socket: ${entriesOf(socket.port, socket.localPort)}")
        return null
    }

    private fun find(
        socket: Socket,
        processIds: Collection<Long>,
    ): Long? {
        val names = entriesOf(socket.port, socket.localPort).map { "socket:[${it[INODE]}]" }
        return processIds.firstOrNull { id -> names.any { holds(id, it) } }
    }

    /** The fields of the tables' entries for the end of a connection whose ports are [ownPort] and [otherPort]. */
    private fun entriesOf(
        ownPort: Int,
        otherPort: Int,
    ): List<List<String>> =
        TABLES
            .flatMap { Path.of(it).readLines() }
            .map { it.trim().split(SPACES) }
            .filter { it[LOCAL].endsWith(suffix(ownPort)) && it[REMOTE].endsWith(suffix(otherPort)) }

    private fun suffix(port: Int): String = ":%04X".format(port)

    private fun holds(
        processId: Long,
        name: String,
    ): Boolean =
        try {
            Path.of("/proc/$processId/fd").listDirectoryEntries().any { targetOf(it) == name }
        } catch (_: IOException) {
            false // the process has ended
        }

    private fun targetOf(descriptor: Path): String? =
        try {
            Files.readSymbolicLink(descriptor).toString()
        } catch (_: IOException) {
            null // closed meanwhile
        }

    private val TABLES = listOf("/proc/net/tcp", "/proc/net/tcp6")
    private val SPACES = Regex(" +")
    private const val TRIES = 5
    private const val PAUSE_MILLISECONDS = 5L
    private const val LOCAL = 1
    private const val REMOTE = 2
    private const val INODE = 9
}
