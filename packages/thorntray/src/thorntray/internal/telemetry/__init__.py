"""Observability for operators: numbered log events and metrics."""
