package org.acaciaflow.state.lock

/**
 * The global acquisition order for the locks of shared tables.
 *
 * A thread that holds a lock may acquire only locks with a higher [number]. The numbers have gaps so that new tables
 * can be inserted.
 */
enum class LockOrder(
    val number: Int,
) {
    CONFIGURATION(10),
    CONFIGURATION_PULLS(12),
    ROUTING(15),
    TIME_LIMITS(16),
    ENGINE(20),
    WAITING_REQUESTS(30),
    REQUEST_TURNS(32),
    BACKEND_SERVERS(40),
    FLEET(42),
    BACKEND_NOTICES(43),
    RELIABILITY(44),
    MEAN_PREFILLS(45),
    PROMPT_CACHES(46),
    RECENT_READS(47),
    FLEET_LOAD(48),
    ENGINE_RATES(49),
    CRASH_SUSPECTS(50),
    STARTING_ATTEMPTS(51),
    CRASH_REPORTS(52),
    STORE_KNOWLEDGE(53),
    PEERS(54),
    SERVER_LIMITS(55),
    ANSWER_BUFFERS(56),
    STREAM_ORIGINS(57),
    POOL_VERSIONS(58),
    BEGUN_STREAMS(59),
    ATTEMPT_JOURNAL(60),
    RECORD_QUEUE(61),
    RECORD_READS(62),
    RETRY_BUDGET(70),
    RETRY_WINDOWS(72),
    EXCHANGES(80),
    SURPLUS_ANSWERS(82),
    CONTRADICTION_DELAYS(83),
    ANSWER_FORMS(84),
    BACKEND_CONNECTIONS(85),
    POOL_TROUBLES(86),
    LINKS(90),
    STREAMS(100),
    LOOPS(110),
}
