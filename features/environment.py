"""Keeps the log lines of the nodes out of the output of the scenarios."""

from absl import logging


def before_all(context):
    """Write errors only."""
    logging.set_verbosity(logging.ERROR)
