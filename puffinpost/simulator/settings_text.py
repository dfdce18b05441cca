"""Converts the platform's settings, whose keys are the paths of the simulator's settings text, to `Settings`.

The simulator's host passes it the text of one instance, `config.node` the flattened settings of a node. No
other module uses the platform's keys.
"""

from __future__ import annotations

import math

from puffinpost.balancing.settings import (
    DeduplicationScope,
    Idempotency,
    InvalidSettingsError,
    RequestClass,
    Settings,
    Tenant,
)


class _SettingsReader:
    """Typed access to settings by path. ``InvalidSettingsError`` names a missing or invalid path."""

    def __init__(self, values: dict[str, str]) -> None:
        self.values = values

    def text(self, path: str, default: str | None = None) -> str:
        value = self.values.get(path, default)
        if value is None:
            raise InvalidSettingsError(path, f"settings: {path} is missing")
        return value

    def number(self, path: str, default: float | None = None) -> float:
        raw = self.values.get(path, "")
        if raw == "":
            if default is None:
                raise InvalidSettingsError(path, f"settings: {path} is missing")
            return default
        try:
            return float(raw)
        except ValueError:
            raise InvalidSettingsError(path, f"settings: {path} = {raw!r} is not a number") from None

    def integer(self, path: str, default: int | None = None) -> int:
        raw = self.values.get(path, "")
        if raw == "" and default is not None:
            return default
        try:
            return int(raw)
        except ValueError:
            value = self.number(path)  # accepts a number such as 1e9, or raises an error that names the path
        if not math.isfinite(value):
            raise InvalidSettingsError(path, f"settings: {path} = {raw!r} is not a whole number")
        return int(value)

    def flag(self, path: str, default: bool) -> bool:
        raw = self.text(path, str(default)).lower()
        if raw not in ("true", "false", "1", "0"):
            raise InvalidSettingsError(path, f"settings: {path} = {raw!r} is not true or false")
        return raw in ("true", "1")

    def names(self, path: str) -> list[str]:
        return [item for item in self.values.get(path, "").split(",") if item]

    def numbers(self, path: str) -> list[float]:
        try:
            numbers = [0.0 if item == "null" else float(item) for item in self.names(path)]
        except ValueError:
            numbers = [math.nan]
        if not all(map(math.isfinite, numbers)):
            raise InvalidSettingsError(
                path, f"settings: {path} = {self.values[path]!r} is not a list of numbers"
            )
        return numbers


def _value_for(values: list[float], index: int) -> float:
    """Returns a list's value for an index: its last value past its end, and 0 if the list is empty."""
    if not values:
        return 0.0
    return values[index] if index < len(values) else values[-1]


def parse_settings(text: str) -> Settings:
    """Parses the settings of one instance, lines of ``path=value``. Raises the errors of `settings_of`."""
    values: dict[str, str] = {}
    for line in text.splitlines():
        path, separator, value = line.partition("=")
        if separator and value.strip() != "null":  # null means that the value is absent
            values[path.strip()] = value.strip()
    return settings_of(values)


def settings_of(values: dict[str, str]) -> Settings:
    """Converts the settings of one instance, which are given by path.

    Raises ``InvalidSettingsError`` with the setting that is missing, invalid or out of range.
    """
    reader = _SettingsReader(values)
    message_objectives_ns = reader.numbers("FamilyInfo.MessageAimNs")
    quotas = reader.numbers("FamilyInfo.TenantQuotaConnections")
    classes = tuple(
        _read_class(reader, number, int(_value_for(message_objectives_ns, number)))
        for number in range(reader.integer("Classes.count"))
    )
    tenants: tuple[Tenant, ...] = ()
    if values.get("Tenants.count"):
        tenants = tuple(
            _read_tenant(reader, number, _value_for(quotas, number))
            for number in range(reader.integer("Tenants.count"))
        )
    return _read_settings(reader, classes, tenants)


def _read_class(reader: _SettingsReader, number: int, message_objective_ns: int) -> RequestClass:
    path = f"Classes.{number}"
    repeat = reader.text(f"{path}.Repeat", "safe")
    scope = reader.text(f"{path}.DedupScope", "all")
    try:
        idempotency = Idempotency(repeat)
        deduplication_scope = DeduplicationScope(scope)
    except ValueError:
        raise InvalidSettingsError(
            path, f"settings: {path}: Repeat {repeat!r}, DedupScope {scope!r} unknown"
        ) from None
    return RequestClass(
        latency_objective_ns=reader.integer(f"{path}.AimNs"),
        deadline_ns=reader.integer(f"{path}.HardLimitNs"),
        priority_weight=reader.number(f"{path}.Worth", 1.0),
        idempotency=idempotency,
        deduplication_scope=deduplication_scope,
        idempotency_window_ns=reader.integer(f"{path}.WindowNs", 0),
        streaming=reader.flag(f"{path}.Streaming", False),
        message_latency_objective_ns=message_objective_ns,
    )


def _read_tenant(reader: _SettingsReader, number: int, quota_connections: float) -> Tenant:
    path = f"Tenants.{number}"
    return Tenant(
        quota_share=reader.number(f"{path}.Fraction", 1.0),
        quota_connections=quota_connections,
        quota_per_s=reader.number(f"{path}.QuotaPerS", 0.0),
        name=reader.text(f"{path}.Name", ""),
    )


def _read_settings(
    reader: _SettingsReader, classes: tuple[RequestClass, ...], tenants: tuple[Tenant, ...]
) -> Settings:
    return Settings(
        balancer_index=reader.integer("Me", 0),
        balancer_count=reader.integer("FleetSize", 1),
        zone=reader.integer("Locality", 0),
        zone_count=len(reader.names("Dcs")),
        endpoint_type_count=len(reader.names("Kinds")),
        classes=classes,
        tenants=tenants,
        over_quota_weight=reader.number("OverShareWorth", 1.0),
        endpoint_list_is_polled=reader.text("Discovery", "pushed") == "on_request",
        poll_within_ns=reader.integer("Rules.AskWithinNs", 10_000_000_000),
        drain_grace_ns=reader.integer("Rules.DrainGraceNs"),
        warmup_initial_capacity=reader.number("Rules.ColdFrom"),
        warmup_duration_ns=reader.integer("Rules.RampTimeNs"),
        warmup_load_multiple=reader.number("Rules.FallMultiple"),
        warmup_window_ns=reader.integer("Rules.FallNs"),
        answer_slack_ns=reader.integer("Rules.AnswerSlackNs"),
        processing_interval_ns=reader.integer("RoundNs"),
        max_attempts=reader.integer("Limits.AttemptsCap"),
        max_retry_after_ns=reader.integer("Limits.MaxRetryAfterNs", 0),
        sends_retry_after=reader.flag("Limits.RetryAfter", False),
        dial_timeout_ns=reader.integer("Limits.DialTimeoutNs", 250_000_000),
        health_checks_enabled=reader.flag("Limits.Probes", False),
        cancellation_enabled=reader.flag("Limits.Cancel", False),
        load_report_fields=_read_load_report_fields(reader),
        endpoints_are_weighted=reader.text("Weights", "off") != "off",
        warms_up_by_work=reader.text("WorthBy", "request") == "work",
        groups_share_work=reader.flag("FamilyInfo.Groups", False),
        is_pass_through=reader.text("FamilyInfo.Mode", "proxy") == "pass",
        park_ns=reader.integer("FamilyInfo.ParkNs", 0),
        migration_cost=reader.number("Fees.Moves", 0.0),
        health_check_cost=reader.number("Fees.Probe", 0.0),
        zone_crossing_cost=reader.number("Fees.CrossZone", 0.0),
        wasted_work_cost=reader.number("Fees.Waste", 0.0),
    )


def _read_load_report_fields(reader: _SettingsReader) -> tuple[str, ...]:
    if reader.text("Report.Source", "off") == "off":
        return ()
    return tuple(reader.names("Report.Fields"))
