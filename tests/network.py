"""The network between data centres: a relay for each pair of processes."""

import json
import os

import attrs

from tests.relay import Relay


@attrs.frozen
class Listener:
    """Where a process listens, and in which data centre."""

    data_centre: str
    address: tuple[str, int]


@attrs.define
class Network:
    """Lead each caller's connections to other data centres through relays.

    ``tests.routed`` reads a caller's routes from its file at each new connection.
    """

    folder: object
    new_address: object
    listener_by_name: dict = attrs.field(factory=dict)
    _data_centre_by_caller: dict = attrs.field(factory=dict)
    _relay_by_pair: dict = attrs.field(factory=dict)

    @property
    def is_split(self):
        """Tell whether the processes stand in several data centres."""
        return len({item.data_centre for item in self.listener_by_name.values()}) > 1

    def relays(self):
        """Return all relays."""
        return list(self._relay_by_pair.values())

    def callers_in(self, data_centre):
        """Return the names of a data centre's entry hosts."""
        centres = self._data_centre_by_caller
        return [name for name, own in centres.items() if own == data_centre]

    def add_listener(self, name, data_centre, address):
        """Let the callers of other data centres reach a process through relays."""
        self.listener_by_name[name] = Listener(data_centre, address)
        for caller in self._data_centre_by_caller:
            self._write_routes(caller)

    def add_caller(self, name, data_centre):
        """Return the file with the routes of a process that will connect to others."""
        self._data_centre_by_caller[name] = data_centre
        return str(self._write_routes(name))

    def cut(self, data_centre, hears=False, is_heard=False):
        """Cut a data centre from all others, unless it hears them or is heard."""
        for pair, relay in self._relay_by_pair.items():
            if data_centre not in self._data_centres(pair):
                continue
            if self._data_centre_by_caller[pair[0]] == data_centre:
                relay.cut(forward=not is_heard, back=not hears)
            else:
                relay.cut(forward=not hears, back=not is_heard)

    def heal(self, data_centre):
        """Join a data centre with all others."""
        for pair, relay in self._relay_by_pair.items():
            if data_centre in self._data_centres(pair):
                relay.heal()

    def _data_centres(self, pair):
        caller, name = pair
        there = self.listener_by_name[name].data_centre
        return self._data_centre_by_caller[caller], there

    def _write_routes(self, caller):
        own = self._data_centre_by_caller[caller]
        routes = {}
        for name, listener in self.listener_by_name.items():
            if listener.data_centre != own:
                relay = self._relay((caller, name), listener.address)
                routes["{}:{}".format(*listener.address)] = relay.listen
        path = self.folder / f"{caller}-routes.json"
        new = path.with_suffix(".new")
        new.write_text(json.dumps(routes))
        os.replace(new, path)
        return path

    def _relay(self, pair, target):
        if pair not in self._relay_by_pair:
            listen = (self.new_address(), target[1])
            self._relay_by_pair[pair] = Relay(listen, target)
        return self._relay_by_pair[pair]
