"""Tables, parts and keys of the project's rows in the platform's store."""

from collections.abc import Iterable

from rhubarbmount.platform.rows import RowName

__all__ = [
    "CANCEL_SUFFIX",
    "CATALOGUE_TABLE",
    "LEASE_TABLE",
    "HOST_ORDERS_TABLE",
    "KEPT_ENDS_TABLE",
    "PROGRESS_PIECES_TABLE",
    "PROGRESS_TABLE",
    "REQUESTS_TABLE",
    "SERVER_RECORDS_TABLE",
    "SILENT_SERVERS_TABLE",
    "SPECS_TABLE",
    "USED_LIFETIMES_TABLE",
    "cancel_row",
    "catalogue_changes_row",
    "head_row",
    "host_orders_row",
    "job_ids_of",
    "kept_ends_row",
    "known_catalogue_row",
    "lease_row",
    "parse_piece_key",
    "pending_row",
    "progress_piece_row",
    "progress_row",
    "request_parts",
    "request_row",
    "shard_of",
    "server_records_row",
    "silent_servers_row",
    "spec_row",
    "used_lifetimes_row",
    "wave_row",
]

CATALOGUE_TABLE = "catalogue"
LEASE_TABLE = "leases"
REQUESTS_TABLE = "requests"
PROGRESS_TABLE = "progress"
PROGRESS_PIECES_TABLE = "progress-pieces"
SPECS_TABLE = "specs"
WAVES_TABLE = "waves"
HOST_ORDERS_TABLE = "host-orders"
KEPT_ENDS_TABLE = "kept-ends"
SERVER_RECORDS_TABLE = "server-records"
SILENT_SERVERS_TABLE = "silent-servers"
USED_LIFETIMES_TABLE = "used-lifetimes"
CANCEL_SUFFIX = ".cancel"
REQUEST_PART_COUNT = 8


def shard_of(host: str, prefix: str, job_id: str) -> str:
    """Return the shard of a job; there is only one shard at present."""
    return "shard-0"


def request_parts(shard: str) -> list[str]:
    """Return the parts that hold the requests for a shard's jobs.

    The store serialises the transactions of a part. If requests shared one part, a slow
    store would make callers wait for each other and for the holder.
    """
    return [
        f"{shard}.requests-{part_number}" for part_number in range(REQUEST_PART_COUNT)
    ]


def _request_part(shard: str, job_id: str) -> str:
    return request_parts(shard)[int(job_id[:2], 16) % REQUEST_PART_COUNT]


def lease_row(shard: str) -> RowName:
    """Return the lease row of a shard, which is in a part of its own."""
    return RowName(LEASE_TABLE, f"{shard}.lease", "lease")


def head_row(shard: str) -> RowName:
    """Return the row whose version each commit of a shard's holder expects."""
    return RowName("heads", shard, "head")


def request_row(shard: str, job_id: str) -> RowName:
    """Return the row of a job as submitted by its caller."""
    return RowName(REQUESTS_TABLE, _request_part(shard, job_id), job_id)


def cancel_row(shard: str, job_id: str) -> RowName:
    """Return the row that records a caller's cancellation of a job."""
    part = _request_part(shard, job_id)
    return RowName(REQUESTS_TABLE, part, job_id + CANCEL_SUFFIX)


def progress_row(shard: str, job_id: str) -> RowName:
    """Return the row of a job's progress."""
    return RowName(PROGRESS_TABLE, shard, job_id)


def progress_piece_row(shard: str, job_id: str, piece: int) -> RowName:
    """Return the row of a piece of the progress of a job with many tasks."""
    return RowName(PROGRESS_PIECES_TABLE, shard, f"{job_id}.{piece}")


def parse_piece_key(key: str) -> tuple[str, int]:
    """Return the job and the piece that a row holds.

    >>> parse_piece_key(progress_piece_row("s", "5c0e7a21d94b36f8", 7).key)
    ('5c0e7a21d94b36f8', 7)
    """
    job_id, _, piece = key.rpartition(".")
    return job_id, int(piece)


def job_ids_of(names: Iterable[RowName]) -> set[str]:
    """Return the jobs whose specs or progress some rows hold."""
    tables = (SPECS_TABLE, PROGRESS_TABLE, PROGRESS_PIECES_TABLE)
    return {name.key.partition(".")[0] for name in names if name.table in tables}


def spec_row(shard: str, job_id: str) -> RowName:
    """Return the holder's copy of a job's spec, in the same part as its progress.

    It is written no later than the progress, so that a takeover knows all jobs that
    may have runs whatever parts of the requests it can read.
    """
    return RowName(SPECS_TABLE, shard, job_id)


def kept_ends_row(shard: str, job_id: str) -> RowName:
    """Return the row of ended runs of a job whose progress could not be read."""
    return RowName(KEPT_ENDS_TABLE, shard, job_id)


def pending_row(shard: str) -> RowName:
    """Return the row with the number of jobs not yet started, by queue."""
    return RowName("pending", shard, "counts")


def catalogue_changes_row(shard: str) -> RowName:
    """Return the row with the last changes of the configuration."""
    return RowName(CATALOGUE_TABLE, shard, "changes")


def known_catalogue_row(shard: str) -> RowName:
    """Return the row that says which version of the configuration is the newest."""
    return RowName(CATALOGUE_TABLE, shard, "known")


def host_orders_row(shard: str) -> RowName:
    """Return the row with the time of the last command to each host."""
    return RowName(HOST_ORDERS_TABLE, shard, "last")


def server_records_row(shard: str, key: str) -> RowName:
    """Return one of the rows that say where servers with tasks are reached."""
    return RowName(SERVER_RECORDS_TABLE, shard, key)


def silent_servers_row(shard: str) -> RowName:
    """Return the row of unresponsive backend servers, which are granted no leases."""
    return RowName(SILENT_SERVERS_TABLE, shard, "last")


def used_lifetimes_row(shard: str, key: str) -> RowName:
    """Return one of the rows that say on which lifetimes tasks were started."""
    return RowName(USED_LIFETIMES_TABLE, shard, key)


def wave_row(shard: str, number: int) -> RowName:
    """Return the row of a wave's progress."""
    return RowName(WAVES_TABLE, shard, str(number))
