package org.shallotplank.gateway

import arrow.core.Either
import kotlinx.collections.immutable.PersistentSet
import org.shallotplank.core.Address
import org.shallotplank.core.ZoneName
import org.shallotplank.core.gateway.RouteTable
import org.shallotplank.core.gateway.UpstreamRecord
import org.shallotplank.gateway.store.StoreRow

/**
 * Where the store holds what a gateway entry goes by, and how its rows are read.
 *
 * @property operatorTable rows of the operators.
 * @property upstreamTable rows of the upstreams.
 * @property entryTable rows of the gateway entries themselves.
 * @property readOperatorRows reads all rows of the operators.
 * @property readUpstream reads one row of an upstream, or says what is wrong with it.
 */
public class StoreSchema(
    public val operatorTable: String,
    public val upstreamTable: String,
    public val entryTable: String,
    public val readOperatorRows: (Collection<StoreRow>) -> OperatorRows,
    public val readUpstream: (StoreRow) -> Either<String, UpstreamRecord>
)

/** What the operators' rows say; [findings] tells what of them cannot be read. */
public class OperatorRows(
    public val routes: RouteTable?,
    public val outOfService: PersistentSet<ZoneName>,
    public val findings: List<String>
)

/** How callers and the platform ask for the entries and for readiness. */
public class DirectoryWire(
    public val readinessPath: String,
    public val directoryPath: String,
    /** Writes the answer of the directory. */
    public val entryList: (addresses: List<Address>, ttlSeconds: Double) -> ByteArray
)
