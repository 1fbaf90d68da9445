"""The platform's key-value service: the client, seed entries, and the watches on settings."""
