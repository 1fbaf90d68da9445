"""Test data: values that readers take in more easily than they are sent, stored or computed on."""

import json

from hypothesis import settings
from hypothesis import strategies as st

HUGE = 10**30
property_test = settings(max_examples=150, deadline=None)
json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=12,
)
json_bytes = json_values.map(lambda value: json.dumps(value).encode())
any_bytes = st.binary(max_size=80) | json_bytes
