package org.shallotplank.config

import arrow.core.raise.nullable
import org.shallotplank.core.config.Operation

/** The keys of one table `[[operations]]`; keys that could not be read are null. */
internal class OperationReading(val reader: TableReader) {
    val name = reader.read(OperationKeys.name)
    val method = reader.read(OperationKeys.method)
    val path = reader.read(OperationKeys.path)
    val idempotent = reader.read(OperationKeys.idempotent)
    val streamed = reader.read(OperationKeys.streamed)
    val priority = reader.read(OperationKeys.priority)
    val deadline = reader.read(OperationKeys.deadline)

    /** Name of the operation in findings, or its location if the name could not be read. */
    val label: String get() = name ?: "at ${reader.location}"

    /** The operation, or null when a key could not be read. */
    fun operation(): Operation? = nullable {
        Operation(
            name = name.bind(),
            method = method.bind(),
            path = path.bind(),
            idempotent = idempotent.bind(),
            streamed = streamed.bind(),
            priority = priority.bind(),
            deadline = deadline.bind()
        )
    }

    /** Whether this operation matches every request that [later] matches. */
    fun covers(later: OperationReading): Boolean {
        if (method == null || path == null || later.path == null) return false
        if (method != later.method) return false
        if (!path.endsWith('*')) return path == later.path
        return later.path.removeSuffix("*").startsWith(path.removeSuffix("*"))
    }
}

/** Reports duplicate names, and operations that an earlier one hides from all requests. */
internal fun checkOperations(operations: List<OperationReading>) {
    operations.forEachIndexed { index, operation ->
        val earlier = operations.subList(0, index)
        val namesake = earlier.firstOrNull { it.name != null && it.name == operation.name }
        if (namesake != null) {
            val location = namesake.reader.location(OperationKeys.name)
            operation.reader.report(
                OperationKeys.name,
                "a name that no other operation has",
                "\"${operation.name}\", which stands at $location"
            )
        }
        val cover = earlier.firstOrNull { it.covers(operation) } ?: return@forEachIndexed
        operation.reader.report(
            OperationKeys.path,
            "a path that no earlier operation serves",
            "${operation.method} ${operation.path}, served by operation ${cover.label}"
        )
    }
}
