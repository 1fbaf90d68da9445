"""The services and routes of a run, and the nested calls of the workers."""

from standins.mesh_fleet import RouteConfig

SERVICES = ("tariff", "settle", "stock")
NESTED_CALLS = {"/prices/1": "/inner/1"}


def build_routes(moving_service: str) -> list[RouteConfig]:
    """Return the routes, with `moving` assigned to the service `moving_service`."""
    return [
        RouteConfig("prices", "tariff"),
        RouteConfig("payouts", "settle", kind="non_idempotent", priority=0),
        RouteConfig("views", "stock"),
        RouteConfig("moving", moving_service),
        RouteConfig("inner", "stock"),
    ]
