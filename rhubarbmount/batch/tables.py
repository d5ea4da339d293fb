"""Names of the project's rows in the platform's store."""

from rhubarbmount.platform.rows import RowName

__all__ = [
    "CANCEL_SUFFIX",
    "LEASE_TABLE",
    "HOST_ORDERS_TABLE",
    "PROGRESS_TABLE",
    "REQUESTS_TABLE",
    "SILENT_SERVERS_TABLE",
    "cancel_row",
    "head_row",
    "host_orders_row",
    "lease_row",
    "pending_row",
    "progress_row",
    "request_parts",
    "request_row",
    "shard_of",
    "silent_servers_row",
    "wave_row",
]

LEASE_TABLE = "leases"
REQUESTS_TABLE = "requests"
PROGRESS_TABLE = "progress"
WAVES_TABLE = "waves"
HOST_ORDERS_TABLE = "host-orders"
SILENT_SERVERS_TABLE = "silent-servers"
CANCEL_SUFFIX = ".cancel"
REQUEST_PART_COUNT = 8


def shard_of(host: str, prefix: str, job_id: str) -> str:
    """Return the shard that holds a job; one shard holds all jobs today."""
    return "shard-0"


def request_parts(shard: str) -> list[str]:
    """Return the parts that hold a shard's jobs as handed in.

    A part carries out one transaction after another. A slow store would let callers
    wait for each other and for the holder if they shared one.
    """
    return [
        f"{shard}.requests-{part_number}" for part_number in range(REQUEST_PART_COUNT)
    ]


def _request_part(shard: str, job_id: str) -> str:
    return request_parts(shard)[int(job_id[:2], 16) % REQUEST_PART_COUNT]


def lease_row(shard: str) -> RowName:
    """Return the row that says who holds a shard, in a part of its own."""
    return RowName(LEASE_TABLE, f"{shard}.lease", "lease")


def head_row(shard: str) -> RowName:
    """Return the row that each commit of a shard's holder expects."""
    return RowName("heads", shard, "head")


def request_row(shard: str, job_id: str) -> RowName:
    """Return the row of a job as its caller handed it in."""
    return RowName(REQUESTS_TABLE, _request_part(shard, job_id), job_id)


def cancel_row(shard: str, job_id: str) -> RowName:
    """Return the row that says that a caller gave a job up."""
    part = _request_part(shard, job_id)
    return RowName(REQUESTS_TABLE, part, job_id + CANCEL_SUFFIX)


def progress_row(shard: str, job_id: str) -> RowName:
    """Return the row of how far a job is."""
    return RowName(PROGRESS_TABLE, shard, job_id)


def pending_row(shard: str) -> RowName:
    """Return the row that counts the jobs that have not begun."""
    return RowName("pending", shard, "counts")


def host_orders_row(shard: str) -> RowName:
    """Return the row of the last orders to hosts."""
    return RowName(HOST_ORDERS_TABLE, shard, "last")


def silent_servers_row(shard: str) -> RowName:
    """Return the row of backend servers that are granted nothing."""
    return RowName(SILENT_SERVERS_TABLE, shard, "last")


def wave_row(shard: str, number: int) -> RowName:
    """Return the row of how far a wave is."""
    return RowName(WAVES_TABLE, shard, str(number))
