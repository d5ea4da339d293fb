"""Loopback addresses that no other test process uses."""

import itertools
import os
import socket

RESERVATION_PORT = 9999

_block_numbers = itertools.count(os.getpid())


class AddressBlock:
    """Hold a block of loopback addresses for the length of a block of code."""

    def __init__(self):
        for number in _block_numbers:
            prefix = f"127.{10 + number % 200}.{number // 200 % 250}"
            self._reservation = socket.socket()
            try:
                self._reservation.bind((f"{prefix}.1", RESERVATION_PORT))
            except OSError:
                self._reservation.close()
                continue
            self._prefix = prefix
            self._numbers = itertools.count(2)
            return

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.close()

    def new_address(self):
        """Return an IP address that was not returned before."""
        return f"{self._prefix}.{next(self._numbers)}"

    def close(self):
        """Let others take the block."""
        self._reservation.close()
