"""The platform's key-value service: calls, seed entries, settings. As long as the process."""
