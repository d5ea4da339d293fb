"""Print what speaking with peers costs a node, at three sizes of deployment."""

import os
import random
import resource
import socket
import struct
import time
from contextlib import AsyncExitStack, suppress

import attrs
import trio

from rhubarbmount.catalogue import Snapshot
from rhubarbmount.configuration import Configuration
from rhubarbmount.errors import PlatformUnavailable
from rhubarbmount.peers import Peers, new_identity, open_peers
from rhubarbmount.timers import open_timers
from rhubarbmount.zmqtrio import CurveKeys

HOSTS_PER_DATA_CENTRE = 7
DATA_CENTRES = (1, 5, 10)
BACKENDS_PER_DATA_CENTRE = 260
BUSY_BACKENDS = 60
WARM_UP_S = 25.0
MEASURED_S = 20.0
HEADER_BYTES = 52
TCP_INFO_BYTES = 192
TCP_INFO_COUNTERS_AT = 120
BYTES_LIMIT = 3000


class NoPlatform:
    """A platform that is out."""

    async def read(self, table: str, key: str) -> None:
        raise PlatformUnavailable("none")


@attrs.frozen
class Traffic:
    """Bytes over the process's TCP connections, headers counted."""

    sent: int
    received: int


def read_traffic() -> Traffic:
    """Sum what the kernel has counted for each TCP connection."""
    sent = received = 0
    for name in os.listdir("/proc/self/fd"):
        with suppress(OSError):
            if not os.readlink(f"/proc/self/fd/{name}").startswith("socket:"):
                continue
            with socket.socket(fileno=os.dup(int(name))) as connection:
                if connection.type != socket.SOCK_STREAM:
                    continue
                info = connection.getsockopt(
                    socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
                )
            acked, got, segments_out, segments_in = struct.unpack_from(
                "QQII", info, 120
            )
            sent += acked + HEADER_BYTES * segments_out
            received += got + HEADER_BYTES * segments_in
    return Traffic(sent, received)


def resident_bytes() -> int:
    """Return this process's resident memory."""
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * resource.getpagesize()


def processor_s() -> float:
    """Return the processor time used by this process."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def loads(rng: random.Random) -> dict[str, int]:
    """Return in-flight requests on some backend servers, all changed since last."""
    chosen = rng.sample(range(BACKENDS_PER_DATA_CENTRE), BUSY_BACKENDS)
    return {f"host-{number}": rng.randint(1, 9) for number in chosen}


async def measure(data_centres: int) -> tuple[float, ...]:
    """Run a deployment and return its costs for each node."""
    rng = random.Random(7)
    keys = CurveKeys.generate()
    ports = iter(range(21000, 22000))
    identities = [
        new_identity(f"dc{dc}-entry-{n}", f"dc{dc}", f"127.0.0.1:{next(ports)}")
        for dc in range(data_centres)
        for n in range(HOSTS_PER_DATA_CENTRE)
    ]
    addresses = {identity.address: identity.data_centre for identity in identities}
    before = resident_bytes()
    async with AsyncExitStack() as stack:
        timers = await stack.enter_async_context(open_timers(seed=1))
        nodes: list[Peers] = []
        for identity in identities:
            configuration = Configuration(platform=NoPlatform())
            configuration.offer(Snapshot(version=2500))
            followers = {"catalogue": configuration}
            opened = open_peers(
                identity, keys, addresses, followers, timers, lambda: loads(rng)
            )
            nodes.append(await stack.enter_async_context(opened))
        await trio.sleep(WARM_UP_S)
        return await measure_nodes(nodes, before)


async def measure_nodes(nodes: list[Peers], before: int) -> tuple[float, ...]:
    """Return sent and received bytes/s, messages/s, processor share and memory."""
    count = len(nodes)
    for node in nodes:
        assert len(node.table.reports(trio.current_time())) == count - 1
    started, cpu, traffic = time.monotonic(), processor_s(), read_traffic()
    heard = sum(node.messages_heard for node in nodes)
    await trio.sleep(MEASURED_S)
    elapsed = time.monotonic() - started
    now = read_traffic()
    heard = sum(node.messages_heard for node in nodes) - heard
    cpu = processor_s() - cpu
    return (
        (now.sent - traffic.sent) / elapsed / count,
        (now.received - traffic.received) / elapsed / count,
        heard / elapsed / count,
        100 * cpu / elapsed / count,
        1e6 * cpu / heard,
        (resident_bytes() - before) / count / 1e6,
    )


def main() -> None:
    """Print a line for each size, and the slope over data centres."""
    print("nodes  sent B/s  recv B/s  both B/s  msgs/s  core %  us/msg  MB")
    rows = []
    for data_centres in DATA_CENTRES:
        row = trio.run(measure, data_centres)
        rows.append(row)
        sent, received, messages, core, each, memory = row
        print(
            f"{data_centres * HOSTS_PER_DATA_CENTRE:5d}  {sent:8.0f}  {received:8.0f}"
            f"  {sent + received:8.0f}  {messages:6.1f}  {core:6.2f}  {each:6.0f}"
            f"  {memory:4.2f}"
        )
    steps = DATA_CENTRES[-1] - DATA_CENTRES[0]
    slope = [
        (last - first) / steps for first, last in zip(rows[0], rows[-1], strict=True)
    ]
    print(
        f"each further data centre: sent {slope[0]:.0f} B/s, received"
        f" {slope[1]:.0f} B/s, {slope[3]:.3f} % of a core, {slope[5]:.3f} MB"
    )
    both = rows[-1][0] + rows[-1][1]
    print(f"both directions at the largest size: {both / BYTES_LIMIT:.2f} of the limit")


if __name__ == "__main__":
    main()
