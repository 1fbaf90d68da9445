"""Behave hooks that keep the log lines of the nodes out of the scenario output."""

from absl import logging


def before_all(context):
    """Log errors only."""
    logging.set_verbosity(logging.ERROR)
