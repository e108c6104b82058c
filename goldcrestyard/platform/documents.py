"""Decoding and storage of the operator's configuration document.

The structs mirror the JSON document of the platform; unknown fields are
ignored.
"""

import zlib
from collections.abc import Collection, Iterator
from typing import Annotated, Any, get_args, get_origin

import msgspec
from msgspec import Meta

from goldcrestyard.core.decoding import (
    DECODE_ERRORS,
    Count,
    Malformed,
    WholeNumber,
    decode_json,
    is_id,
)
from goldcrestyard.core.ids import (
    ConfigVersion,
    DataCentre,
    ModelName,
    OrganisationId,
    Region,
    RequestRate,
    RouteName,
    ServiceName,
)
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.serving import (
    CallerLimits,
    EngineShape,
    RentalBounds,
    RouteKind,
    ServedOrganisation,
    ServedService,
    ServingConfig,
    ServingRoute,
    WeightedService,
)
from goldcrestyard.policy.serving import faults

ByteCount = Annotated[int, Meta(gt=0, lt=2**31)]
"""Largest size in bytes, which the parser of heads keeps in a C integer."""


class _Share(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    type: str
    timeout_ms: float = 10_000.0
    service: str | None = None
    split: list[_Share] | None = None
    attempts: Count = 1
    """Maximum number of targets that may run one request."""
    slo_ms: float | None = None
    """Objective for the response time; a later answer is worth less."""
    priority: WholeNumber = 0
    public: bool = False
    resumable: bool = False
    single_version: bool = False
    due_ms: float | None = None
    item_ttl_s: float | None = None
    home_regions: list[str] = []


class _Model(msgspec.Struct):
    name: str


class _Engine(msgspec.Struct):
    slots: WholeNumber
    models: list[_Model] = []
    kv_cap_tokens: WholeNumber = 0
    stride: WholeNumber = 0


class _Autoscale(msgspec.Struct):
    min: WholeNumber
    max: WholeNumber
    boot_s: float = 0.0
    spot_price: float | None = None
    zone_prices: dict[str, float] = {}


class _Service(msgspec.Struct):
    name: str
    engine: _Engine | None = None
    autoscale: _Autoscale | None = None
    cold_s: Annotated[float, Meta(ge=0)] = 0.0
    cold_per_s: Annotated[float, Meta(ge=0)] = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: ByteCount = 16 * 1024
    max_body_bytes: Count = 32 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: WholeNumber | None = None
    home_regions: list[str] = []


class _Document(msgspec.Struct):
    version: WholeNumber
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


def decode(
    body: bytes, regions: Collection[Region] | None = None
) -> ServingConfig | Refusal:
    """Return the serving configuration, or a refusal if it is invalid.

    ``regions`` are those of the deployment, which alone may be homes; None if
    they are not known, and homes are then not checked.
    """
    document = decode_json(body, _Document)
    if isinstance(document, Malformed):
        return Refusal(
            RefusalReason.BAD_REQUEST, f"unreadable document: {document.detail}"
        )
    try:
        config = _serving_config(document)
    except ValueError as error:
        return Refusal(RefusalReason.BAD_REQUEST, f"unreadable document: {error}")
    found = list(faults(config, regions))
    # Requests to targets name the organisation in a header.
    if not all(is_id(organisation.id) for organisation in config.organisations):
        found.append("the name of an organisation is not valid")
    if found:
        return Refusal(RefusalReason.BAD_REQUEST, "; ".join(found[:5]))
    return config


def decode_for_review(body: bytes) -> ServingConfig | list[str]:
    """Return a configuration, faulty or not, or why it cannot be decoded.

    Unlike ``decode``, it names each value that cannot be decoded, one for each
    field of an entry.
    """
    document = decode_json(body, _Document)
    raw = decode_json(body, dict[str, Any])
    if isinstance(raw, Malformed):
        return [raw.detail]
    found = [*_field_errors(raw, _Document, "$"), *_route_errors(raw.get("routes"))]
    if isinstance(document, Malformed):
        return found or [document.detail]
    return found or _serving_config(document)


def _route_errors(routes: Any) -> Iterator[str]:
    """Yield an error for each route that has its fields but makes no sense."""
    for number, raw in enumerate(routes if isinstance(routes, list) else ()):
        try:
            route = msgspec.convert(raw, _Route)
        except DECODE_ERRORS:
            # ``_field_errors`` tells of it.
            continue
        try:
            _route(route)
        except ValueError as error:
            yield f"{error} - at `$.routes[{number}]`"


def _field_errors(
    raw: dict[str, Any], expected: type[msgspec.Struct], path: str
) -> Iterator[str]:
    for field in msgspec.structs.fields(expected):
        place = f"{path}.{field.encode_name}"
        if field.encode_name not in raw:
            if field.required:
                yield f"missing required field - at `{place}`"
            continue
        value = raw[field.encode_name]
        structs = [
            item
            for item in (field.type, *get_args(field.type))
            if isinstance(item, type) and issubclass(item, msgspec.Struct)
        ]
        # Entries of a list are decoded one by one, as are fields of a struct.
        is_list = get_origin(field.type) is list
        if structs and is_list and isinstance(value, list):
            for number, item in enumerate(value):
                if isinstance(item, dict):
                    yield from _field_errors(item, structs[0], f"{place}[{number}]")
                else:
                    yield f"expected an object - at `{place}[{number}]`"
        elif structs and not is_list and isinstance(value, dict):
            yield from _field_errors(value, structs[0], place)
        else:
            try:
                msgspec.convert(value, field.type)
            except DECODE_ERRORS as error:
                detail, _, at = str(error).partition(" - at `$")
                yield f"{detail} - at `{place}{at.removesuffix('`')}`"


def pack(body: bytes) -> bytes:
    """Compress a document without loss."""
    return zlib.compress(body)


def unpack(source: bytes) -> bytes:
    """Return the document that ``pack`` has compressed, byte for byte."""
    return zlib.decompress(source)


def _serving_config(document: _Document) -> ServingConfig:
    limits = document.limits
    return ServingConfig(
        ConfigVersion(document.version),
        tuple(_route(route) for route in document.routes),
        tuple(_service(service) for service in document.services),
        CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
        tuple(
            ServedOrganisation(
                OrganisationId(tenant.name),
                tuple(tenant.api_keys),
                tenant.priority,
                _regions(tenant.home_regions),
            )
            for tenant in document.tenants
        ),
    )


def _route(route: _Route) -> ServingRoute:
    if route.split is not None:
        services = tuple(
            WeightedService(ServiceName(share.service), share.weight)
            for share in route.split
        )
    elif route.service is not None:
        services = (WeightedService(ServiceName(route.service), 1.0),)
    else:
        raise ValueError(f"route {route.name} has neither a service nor a split")
    return ServingRoute(
        RouteName(route.name),
        route.host,
        route.path_prefix,
        RouteKind(route.type),
        services,
        route.timeout_ms / 1000,
        max(1, route.attempts),
        _seconds(route.slo_ms),
        route.priority,
        route.public,
        route.resumable,
        route.single_version,
        _seconds(route.due_ms),
        route.item_ttl_s,
        _regions(route.home_regions),
    )


def _service(service: _Service) -> ServedService:
    engine = rental = None
    if service.engine is not None:
        models = tuple(ModelName(model.name) for model in service.engine.models)
        engine = EngineShape(
            service.engine.slots,
            models,
            service.engine.kv_cap_tokens,
            service.engine.stride,
        )
    if service.autoscale is not None:
        bounds = service.autoscale
        rental = RentalBounds(
            bounds.min,
            bounds.max,
            bounds.boot_s,
            bounds.spot_price,
            {DataCentre(zone): price for zone, price in bounds.zone_prices.items()},
        )
    return ServedService(
        ServiceName(service.name),
        engine,
        rental,
        service.cold_s,
        RequestRate(service.cold_per_s),
    )


def _regions(names: list[str]) -> tuple[Region, ...]:
    # Each request goes through the list, so a name counts once.
    return tuple(Region(name) for name in dict.fromkeys(names))


def _seconds(milliseconds: float | None) -> float | None:
    return None if milliseconds is None else milliseconds / 1000
