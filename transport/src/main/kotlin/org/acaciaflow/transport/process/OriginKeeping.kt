package org.acaciaflow.transport.process

import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.relay.RelayTables
import org.acaciaflow.coordination.store.StoreEraTracker
import org.acaciaflow.coordination.stream.StoredStreamOrigins
import org.acaciaflow.coordination.stream.StreamRecordReader
import org.acaciaflow.coordination.stream.StreamRecordWriter
import org.acaciaflow.coordination.stream.VersionKeeper
import kotlin.random.Random
import kotlin.time.Clock

/** The parts of a gateway that keep the origins of streams in the platform's store; all but the last are loops. */
internal class OriginKeeping(
    val writer: StreamRecordWriter,
    val reader: StreamRecordReader,
    val keeper: VersionKeeper,
    val origins: StoredStreamOrigins,
)

/** Creates the parts that keep the origins of streams in [store]. */
internal fun createOriginKeeping(
    tables: RelayTables,
    store: PlatformStorePorts,
    eras: StoreEraTracker,
    observations: Observations,
    clock: Clock,
    random: Random,
): OriginKeeping {
    val writer = StreamRecordWriter(store.records, store.writes, eras, tables.routing, observations, clock, random)
    val reader = StreamRecordReader(store.records, eras, clock)
    return OriginKeeping(
        writer = writer,
        reader = reader,
        keeper = VersionKeeper(tables, store.lineages, writer, eras, observations, clock, random),
        origins = StoredStreamOrigins(tables, store.records, reader, writer, eras, observations, clock),
    )
}
