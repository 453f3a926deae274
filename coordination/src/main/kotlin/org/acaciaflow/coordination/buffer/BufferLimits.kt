package org.acaciaflow.coordination.buffer

/** How many bytes of unfinished answers a process buffers, in [total] and [perBackend] server. */
data class BufferLimits(
    val total: Long,
    val perBackend: Long,
)

/** Returns the limits of a process whose heap has [heapBytes]. No server may occupy more than half of the memory. */
fun bufferLimitsOf(heapBytes: Long): BufferLimits {
    val total = heapBytes / HEAP_PARTS
    return BufferLimits(total, perBackend = total / 2)
}

private const val HEAP_PARTS = 8 // an answer is copied twice on its way to the caller, beside all other memory
