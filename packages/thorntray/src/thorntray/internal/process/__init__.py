"""The node process: clock, background tasks, request components and the upstream instance."""
