"""The services and routes of a run, and how the workers serve the requests of each route."""

from standins.mesh_fleet import RouteConfig
from standins.worker import PathBehavior

SERVICES = ("tariff", "settle", "stock")
NESTED_ONLY = frozenset({"inner"})  # routes that callers do not use
LARGE_BODY_BYTES = 600_000  # more than the kernels buffer for a slow reader
BEHAVIORS = {
    "/prices/1": PathBehavior(call_path="/inner/1"),
    "/reports/1": PathBehavior(slow_share=0.5),
    "/exports/1": PathBehavior(body_bytes=LARGE_BODY_BYTES),
}
SLOW_TIMEOUT = 4.0  # seconds, of the route whose workers may take 3 s


def build_routes(moving_service: str) -> list[RouteConfig]:
    """Return the routes, with `moving` assigned to the service `moving_service`."""
    return [
        RouteConfig("prices", "tariff"),
        RouteConfig("payouts", "settle", kind="non_idempotent", priority=0),
        RouteConfig("views", "stock"),
        RouteConfig("moving", moving_service),
        RouteConfig("inner", "stock"),
        RouteConfig("reports", "settle", timeout=SLOW_TIMEOUT, target_latency=SLOW_TIMEOUT),
        RouteConfig("exports", "tariff"),
    ]
