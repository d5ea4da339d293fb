"""The stored progress of a maintenance wave."""

import json

import attrs

from rhubarbmount.batch.record_fields import (
    build_record,
    compress_if_large,
    load_object,
    raises_unreadable_record,
)

__all__ = ["WaveRecord"]


@attrs.frozen
class WaveRecord:
    """Progress of a wave as stored; ``due_s`` is by the store's clock.

    ``unavailable`` holds every host whose maintenance has been decided; it is stored
    before the host is commanded.
    """

    begun: tuple[str, ...]
    is_complete: bool
    due_s: float = 0.0
    unavailable: tuple[str, ...] = ()

    def encode(self) -> bytes:
        """Return the record as the value of a row."""
        return compress_if_large(json.dumps(attrs.asdict(self)).encode("ascii"))

    @classmethod
    @raises_unreadable_record
    def decode(cls, value: bytes) -> "WaveRecord":
        """Return the record stored as the value of a row. Raises UnreadableRecord."""
        values = load_object(value)
        begun, unavailable = values["begun"], values.get("unavailable", ())
        if not all(isinstance(host_id, str) for host_id in (*begun, *unavailable)):
            raise TypeError("the id of a host is not a string")
        lists = {"begun": tuple(begun), "unavailable": tuple(unavailable)}
        return build_record(cls, {**values, **lists})
