package org.shallotplank.gateway

import arrow.core.Either
import kotlinx.collections.immutable.PersistentSet
import org.shallotplank.core.Address
import org.shallotplank.core.ZoneName
import org.shallotplank.core.gateway.RouteTable
import org.shallotplank.core.gateway.UpstreamRecord
import org.shallotplank.gateway.store.StoreRow

/**
 * The tables of the store that a gateway entry reads, and the parsers of their rows.
 *
 * @property operatorTable name of the table with the rows of the operators.
 * @property upstreamTable name of the table with the rows of the upstreams.
 * @property entryTable name of the table with the rows of the gateway entries.
 * @property readOperatorRows reads all rows of the operators.
 * @property readUpstream reads one row of an upstream, or returns a description of its error.
 */
public class StoreSchema(
    public val operatorTable: String,
    public val upstreamTable: String,
    public val entryTable: String,
    public val readOperatorRows: (Collection<StoreRow>) -> OperatorRows,
    public val readUpstream: (StoreRow) -> Either<String, UpstreamRecord>
)

/** Contents of the operators' rows; [findings] describes those that cannot be read. */
public class OperatorRows(
    public val routes: RouteTable?,
    public val outOfService: PersistentSet<ZoneName>,
    public val findings: List<String>
)

/** Paths and format of the interfaces for the list of entries and for readiness. */
public class DirectoryWire(
    public val readinessPath: String,
    public val directoryPath: String,
    /** Encodes the body of the directory's answer. */
    public val entryList: (addresses: List<Address>, ttlSeconds: Double) -> ByteArray
)
