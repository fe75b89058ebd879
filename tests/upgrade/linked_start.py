"""Starts a router of any build whose ways to servers go over links.

Run as `linked_start.py PROGRAM LINKS`; the JSON file LINKS holds the port of the link
by the port of the server.
"""

from __future__ import annotations

import json
import runpy
import sys
from asyncio.base_events import BaseEventLoop
from pathlib import Path

program, links_path = sys.argv[1:]
connect_directly = BaseEventLoop.create_connection


async def connect_over_link(self, factory, host=None, port=None, **options):
    """Connect to the link of a port, if there is one."""
    link_by_port = json.loads(Path(links_path).read_text())
    port = link_by_port.get(str(port), port)
    return await connect_directly(self, factory, host, port, **options)


BaseEventLoop.create_connection = connect_over_link  # type: ignore[method-assign]
sys.argv = [program]
runpy.run_path(program, run_name="__main__")
