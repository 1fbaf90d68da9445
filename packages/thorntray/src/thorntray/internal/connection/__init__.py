"""Network connections: to callers, to upstream instances and between nodes."""
