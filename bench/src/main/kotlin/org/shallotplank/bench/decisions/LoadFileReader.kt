package org.shallotplank.bench.decisions

import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.shallotplank.core.gateway.RequestKind
import org.tomlj.Toml
import org.tomlj.TomlTable

/** Reads a load file; throws [LoadFileException] if it is not valid. */
internal fun readLoadFile(file: Path): DecisionLoad {
    val parsed = Toml.parse(file)
    if (parsed.hasErrors()) {
        throw LoadFileException("$file: ${parsed.errors().first()}")
    }
    val root = LoadTable(file, "", parsed)
    return DecisionLoad(
        name = file.fileName.toString().removeSuffix(".toml"),
        length = root.seconds("length_seconds"),
        zoneDelay = root.millis("zone_delay_millis"),
        callerDelay = root.millis("caller_delay_millis"),
        bounds = RetryBounds(
            ratio = root.number("retry_ratio"),
            window = root.seconds("retry_window_seconds"),
            slack = root.number("retry_slack").toInt()
        ),
        exchangeInterval = root.numberOrNull("exchange_seconds")?.seconds,
        zones = root.tables("zones").map(::zoneOf),
        services = root.tables("services").map(::serviceOf),
        kinds = root.tables("kinds").map(::kindOf),
        faults = root.tables("faults").map(::faultOf)
    )
}

private fun zoneOf(table: LoadTable) = LoadZone(
    name = table.text("name"),
    entries = table.number("entries").toInt(),
    trafficShare = table.number("traffic_share"),
    swing = table.number("swing", default = 0.0),
    period = table.seconds("period_seconds", default = 10.0),
    phase = table.number("phase", default = 0.0)
)

private fun serviceOf(table: LoadTable) = LoadService(
    name = table.text("name"),
    upstreamsPerZone = table.numbers("upstreams_per_zone").map { it.toInt() },
    slots = table.number("slots").toInt(),
    queued = table.number("queued", default = 0.0).toInt(),
    connections = table.number("connections").toInt(),
    coldPerSecond = table.numberOrNull("cold_per_second"),
    connectTime = table.millis("connect_millis", default = 1.0),
    engine = table.tableOrNull("engine")?.let(::engineOf)
)

private fun engineOf(table: LoadTable) = LoadEngine(
    step = table.millis("step_millis"),
    stepPerRequest = table.millis("step_millis_per_request"),
    stepPerThousandTokens = table.millis("step_millis_per_thousand_tokens", default = 0.0),
    promptTokensPerMilli = table.number("prompt_tokens_per_millis"),
    chunkTokens = table.number("chunk_tokens").toInt(),
    stride = table.number("stride").toInt(),
    expertShare = table.number("expert_share"),
    usualImbalance = table.number("usual_imbalance"),
    jumpImbalance = table.number("jump_imbalance"),
    adaptTime = table.seconds("adapt_seconds"),
    formTime = table.seconds("form_seconds", default = 1.0),
    memoryTokens = table.numberOrNull("memory_tokens")?.toInt(),
    usualPromptTokens = table.numberOrNull("usual_prompt_tokens")?.toInt(),
    usualAnswerTokens = table.numberOrNull("usual_answer_tokens")?.toInt()
)

private fun kindOf(table: LoadTable) = LoadKind(
    name = table.text("name"),
    service = table.text("service"),
    kind = RequestKind.valueOf(table.text("kind").uppercase()),
    perSecond = table.number("per_second"),
    goal = table.millis("goal_millis"),
    deadline = table.millis("deadline_millis"),
    timeout = table.millis("timeout_millis"),
    longestPause = table.numberOrNull("longest_pause_millis")?.milliseconds,
    maxAttempts = table.number("max_attempts").toInt(),
    returns = table.number("returns").toInt(),
    worth = table.number("worth"),
    lateShare = table.number("late_share"),
    prompt = table.size("prompt_tokens"),
    events = table.size("events"),
    hintError = table.numberOrNull("hint_error"),
    workMillis = table.size("work_millis"),
    failedShare = table.number("failed_share", default = 0.0)
)

private fun faultOf(table: LoadTable) = LoadFault(
    kind = LoadFaultKind.valueOf(table.text("kind").uppercase()),
    at = table.seconds("at_seconds"),
    length = table.seconds("length_seconds", default = 0.0),
    factor = table.number("factor", default = 1.0),
    count = table.number("count", default = 1.0).toInt(),
    gap = table.seconds("gap_seconds", default = 0.0)
)

/** One table of a load file, and where it stands for messages. */
private class LoadTable(
    private val file: Path,
    private val place: String,
    private val table: TomlTable
) {
    fun text(key: String): String = table.get(key) as? String ?: missing(key, "a text")

    fun numberOrNull(key: String): Double? = when (val value = table.get(key)) {
        null -> null
        is Number -> value.toDouble()
        else -> missing(key, "a number")
    }

    fun number(key: String, default: Double? = null): Double =
        numberOrNull(key) ?: default ?: missing(key, "a number")

    fun numbers(key: String): List<Double> = table.getArray(key)?.toList()?.map {
        (it as? Number)?.toDouble() ?: missing(key, "numbers")
    }
        ?: missing(key, "an array of numbers")

    fun seconds(key: String, default: Double? = null): Duration = number(key, default).seconds

    fun millis(key: String, default: Double? = null): Duration = number(key, default).milliseconds

    fun size(key: String): SizeDistribution {
        val size = tableOrNull(key) ?: return SizeDistribution(mean = 0.0, spread = 0.0, max = 0.0)
        return SizeDistribution(size.number("mean"), size.number("spread"), size.number("max"))
    }

    fun tableOrNull(key: String): LoadTable? =
        table.getTable(key)?.let { LoadTable(file, "$place[$key]", it) }

    fun tables(key: String): List<LoadTable> {
        val array = table.getArray(key) ?: return emptyList()
        return List(array.size()) {
            LoadTable(file, "$place[[$key]] ${it + 1}", array.getTable(it))
        }
    }

    private fun missing(key: String, expected: String): Nothing =
        throw LoadFileException("$file $place $key: expected $expected, found ${table.get(key)}")
}
