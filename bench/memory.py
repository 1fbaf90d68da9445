"""Resident memory of a process that could only forward, and of a whole node.

Run: `python -m bench.memory`. The difference is what control adds: membership, settings,
signatures, documents' transport, logs, metrics and the decisions.
"""

import subprocess
import sys

STAGES = {
    "interpreter with asyncio": "import asyncio",
    "forwarder: uvicorn, httptools, uvloop, aiohttp": (
        "import asyncio, uvicorn, httptools, uvloop, aiohttp, uvicorn.protocols.http.httptools_impl"
    ),
    "whole node after import": "import thorntray_node.main, uvicorn.protocols.http.httptools_impl",
}
READ = """
for line in open('/proc/self/status'):
    if line.startswith('VmRSS'):
        print(int(line.split()[1]) / 1024)
"""


def main() -> None:
    """Print the resident memory after each stage, in MB."""
    for name, code in STAGES.items():
        done = subprocess.run(
            [sys.executable, "-c", code + "\n" + READ], capture_output=True, text=True, check=True
        )
        print(f"{name}: {float(done.stdout):.1f} MB")


if __name__ == "__main__":
    main()
