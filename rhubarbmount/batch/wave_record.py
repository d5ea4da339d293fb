"""The stored progress of a maintenance wave."""

import json

import attrs

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
        return json.dumps(attrs.asdict(self)).encode("ascii")

    @classmethod
    def decode(cls, value: bytes) -> "WaveRecord":
        """Return the record stored as the value of a row."""
        values = json.loads(value)
        return cls(
            tuple(values["begun"]),
            values["is_complete"],
            values.get("due_s", 0.0),
            tuple(values.get("unavailable", ())),
        )
