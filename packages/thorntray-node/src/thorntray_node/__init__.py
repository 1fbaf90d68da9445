"""The node that sits beside one upstream instance. Run it with `thorntray-node`."""
