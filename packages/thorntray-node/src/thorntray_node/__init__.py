"""The sidecar node of one upstream instance. Start it with `thorntray-node`."""
