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
        return null
    }

    private fun find(
        socket: Socket,
        processIds: Collection<Long>,
    ): Long? {
        val inode = inodeOf(callerPort = socket.port, serverPort = socket.localPort) ?: return null
        return processIds.firstOrNull { holds(it, "socket:[$inode]") }
    }

    private fun inodeOf(
        callerPort: Int,
        serverPort: Int,
    ): String? =
        TABLES
            .flatMap { Path.of(it).readLines() }
            .map { it.trim().split(SPACES) }
            .firstOrNull { it[LOCAL].endsWith(suffix(callerPort)) && it[REMOTE].endsWith(suffix(serverPort)) }
            ?.get(INODE)

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
