"""Measures the resident memory of a plain forwarder's imports and of a whole node's imports.

Run: `python -m bench.memory`. The difference is the cost of the control plane: membership,
settings, signatures, transfer of documents, logs, metrics and overload decisions.
"""

import subprocess
import sys

STAGES = {
    "interpreter with asyncio": "import asyncio",
    "forwarder: uvicorn, httptools, uvloop, aiohttp": (
        "import asyncio, uvicorn, httptools, uvloop, aiohttp, uvicorn.protocols.http.httptools_impl"
    ),
    "whole node after import": (
        "import thorntray_node.node_command, uvicorn.protocols.http.httptools_impl"
    ),
}
PRINT_RSS_MB = """
for line in open('/proc/self/status'):
    if line.startswith('VmRSS'):
        print(int(line.split()[1]) / 1024)
"""


def main() -> None:
    """Print the resident memory after the imports of each stage, in MB."""
    for name, code in STAGES.items():
        result = subprocess.run(
            [sys.executable, "-c", code + "\n" + PRINT_RSS_MB],
            capture_output=True,
            text=True,
            check=True,
        )
        print(f"{name}: {float(result.stdout):.1f} MB")


if __name__ == "__main__":
    main()
