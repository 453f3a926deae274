package org.acaciaflow.coordination.event

/** The catalogue of log events; docs/EVENTS.md says what an operator does about each. */
enum class EventKind(
    val number: Int,
    val level: EventLevel,
) {
    PROCESS_STARTED(1001, EventLevel.INFORMATION),
    PROCESS_STOPPING(1002, EventLevel.INFORMATION),
    PROCESS_STOPPED(1003, EventLevel.INFORMATION),
    CONFIGURATION_ADOPTED(1101, EventLevel.INFORMATION),
    CONFIGURATION_REJECTED(1102, EventLevel.ERROR),
    CONFIGURATION_OLDER_IGNORED(1103, EventLevel.INFORMATION),
    SIDECAR_JOINED(1201, EventLevel.INFORMATION),
    SIDECAR_LOST(1202, EventLevel.WARNING),
    SIDECAR_LEAVING(1203, EventLevel.INFORMATION),
    FRAME_REJECTED(1204, EventLevel.WARNING),
    GATEWAY_JOINED(1205, EventLevel.INFORMATION),
    GATEWAY_LOST(1206, EventLevel.INFORMATION),
    BACKEND_UP(1301, EventLevel.INFORMATION),
    BACKEND_DOWN(1302, EventLevel.WARNING),
    BACKEND_CRASHED(1303, EventLevel.ERROR),
    ENGINE_ORDERED(1304, EventLevel.INFORMATION),
    ENGINE_FENCED(1305, EventLevel.WARNING),
    ENGINE_ORDER_IN_DOUBT(1306, EventLevel.WARNING),
    EXECUTION_UNKNOWN(1401, EventLevel.ERROR),
    EXECUTION_SETTLED(1402, EventLevel.INFORMATION),
    STORE_UNAVAILABLE(1501, EventLevel.WARNING),
    STORE_AVAILABLE(1502, EventLevel.INFORMATION),
    HOST_LIST_UNAVAILABLE(1503, EventLevel.WARNING),
    CRASH_SUSPECTED(1601, EventLevel.WARNING),
    CRASH_QUARANTINED(1602, EventLevel.ERROR),
    WORKER_FAILED(1901, EventLevel.ERROR),
}

/** How much attention an event needs. */
enum class EventLevel {
    INFORMATION,
    WARNING,
    ERROR,
}
