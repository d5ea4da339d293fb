"""A small TCP relay that can cut, stall or pass one way."""

import socket
import threading
from contextlib import suppress

CHUNK_BYTES = 65536
QUEUE_FILLERS = 2
PAUSE_CHECK_S = 0.01


class Relay:
    """Pass connections from one address to another until told otherwise.

    ``pass_forward`` and ``pass_back`` switch the two directions; bytes of a direction
    that is off are held, and new connections get no answer, as on a network that loses
    every packet. ``forward_bytes`` and ``back_bytes`` count what passed each way.
    """

    def __init__(self, listen: tuple[str, int], target: tuple[str, int]) -> None:
        self.listen = listen
        self.target = target
        self.pass_forward = threading.Event()
        self.pass_back = threading.Event()
        self._sockets: set[socket.socket] = set()
        self.forward_bytes = 0
        self.back_bytes = 0
        self._closed = False
        self._accepting = threading.Event()
        self._paused = threading.Event()
        self._fillers: list[socket.socket] = []
        self._listener = socket.create_server(listen)
        self.heal()
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self, forward: bool = True, back: bool = True) -> None:
        """Stop passing bytes in the directions named."""
        if forward:
            self.pass_forward.clear()
        if back:
            self.pass_back.clear()
        if self._accepting.is_set():
            self._drop_connects()

    def heal(self) -> None:
        """Pass bytes again, those held first."""
        self._listener.listen()
        self.pass_forward.set()
        self.pass_back.set()
        self._accepting.set()
        while self._fillers:
            self._fillers.pop().close()

    def close(self) -> None:
        """End every connection and stop accepting."""
        self._closed = True
        self.heal()
        with suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.drop_connections()

    def drop_connections(self) -> None:
        """End every connection, as both ends do once a cut has lasted long."""
        for connection in list(self._sockets):
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _drop_connects(self) -> None:
        """Fill the queue of connections: the kernel then drops each further one."""
        self._paused.clear()
        self._accepting.clear()
        self._listener.listen(0)
        self._fillers.append(socket.create_connection(self._listener.getsockname()))
        self._paused.wait()
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._listener.getsockname())
            self._fillers.append(filler)

    def _accept(self) -> None:
        while not self._closed:
            while not self._accepting.wait(PAUSE_CHECK_S):
                self._paused.set()
            try:
                client, _address = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._join, args=(client,), daemon=True).start()

    def _join(self, client: socket.socket) -> None:
        self.pass_forward.wait()
        try:
            server = socket.create_connection(self.target, timeout=5)
        except OSError:
            client.close()
            return
        server.settimeout(None)
        self._sockets |= {client, server}
        back = threading.Thread(
            target=self._pump, args=(server, client, self.pass_back), daemon=True
        )
        back.start()
        self._pump(client, server, self.pass_forward)
        back.join()
        self._sockets -= {client, server}
        client.close()
        server.close()

    def _pump(
        self, source: socket.socket, sink: socket.socket, gate: threading.Event
    ) -> None:
        with suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                gate.wait()
                self._count(len(data), gate is self.pass_forward)
                sink.sendall(data)
        with suppress(OSError):
            sink.shutdown(socket.SHUT_WR)

    def _count(self, size: int, forward: bool) -> None:
        if forward:
            self.forward_bytes += size
        else:
            self.back_bytes += size
