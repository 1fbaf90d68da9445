"""Settings of all tests: derandomized Hypothesis, virtual time on request."""

import sys
from pathlib import Path

from hypothesis import HealthCheck, settings

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,  # a verdict must not hang on the machine's speed
    suppress_health_check=[HealthCheck.too_slow],
    print_blob=True,
)
settings.load_profile("ci")
