"""Runs the program with its connections to other data centres led through relays.

python -m tests.routed ROUTES serve SETTINGS
"""

import json
import sys
from pathlib import Path

import trio

from rhubarbmount import cli
from rhubarbmount.zmqtrio import TrioSocket


def lead_through_relays(path):
    """Look each address up in the file before a connection to it is opened."""
    open_tcp_stream = trio.open_tcp_stream
    connect = TrioSocket.connect

    def route(address, port):
        routes = json.loads(path.read_text())
        return routes.get(f"{address}:{port}", (address, port))

    async def open_routed_stream(address, port):
        return await open_tcp_stream(*route(address, port))

    def connect_routed(self, endpoint):
        address, _, port = endpoint.removeprefix("tcp://").rpartition(":")
        connect(self, "tcp://{}:{}".format(*route(address, int(port))))

    trio.open_tcp_stream = open_routed_stream
    TrioSocket.connect = connect_routed


if __name__ == "__main__":
    lead_through_relays(Path(sys.argv[1]))
    sys.exit(cli.run(sys.argv[2:]))
