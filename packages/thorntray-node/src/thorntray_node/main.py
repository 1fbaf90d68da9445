"""Command line of the node: `thorntray-node --config node.ini`.

Exit codes: 0 after a graceful stop or a successful `--check`, 2 for invalid settings, 3 when a
port cannot be bound.
"""

from thorntray_node.standard_descriptors import open_standard_descriptors


def run() -> None:
    """Entry point of the `thorntray-node` command."""
    open_standard_descriptors()
    from thorntray_node.node_command import run_command  # its libraries open files

    run_command()
