"""The commands, as functions that other programs can call."""

import sys
from collections.abc import Callable
from typing import Any

from rhubarbmount import __version__

__all__ = ["check", "commands", "keys", "serve", "standin_backend", "standin_platform"]


EXIT_REQUESTS_CUT = 3


def commands() -> dict[str, Any]:
    """Return the commands by name; a nested mapping is a command group."""
    from rhubarbmount import entry_commands, fleet_commands

    return {
        "serve": serve,
        "check": check,
        "entry": {
            "list": entry_commands.entry_list,
            "show": entry_commands.entry_show,
            "history": entry_commands.entry_history,
            "apply": entry_commands.entry_apply,
            "remove": entry_commands.entry_remove,
        },
        "status": entry_commands.status,
        "explain": entry_commands.explain,
        "explain-log": explain_log,
        "hosts": {
            "list": fleet_commands.hosts_list,
            "move": fleet_commands.hosts_move,
            "stay": fleet_commands.hosts_stay,
        },
        "jobs": {
            "list": fleet_commands.jobs_list,
            "submit": fleet_commands.jobs_submit,
            "cancel": fleet_commands.jobs_cancel,
            "release": fleet_commands.jobs_release,
        },
        "maintain": {
            "plan": fleet_commands.maintain_plan,
            "start": fleet_commands.maintain_start,
            "list": fleet_commands.maintain_list,
            "control": fleet_commands.maintain_control,
        },
        "demo": demo,
        "token": entry_commands.token,
        "standin": {"platform": standin_platform, "backend": standin_backend},
        "keys": keys,
        "version": version,
    }


def explain_log(subject_id: str, *logs: str) -> int:
    """Show the log lines about a request or a job, and the cause of its outcome.

    :param subject_id: the ID of a request or a job
    :param logs: log files; the file's name is taken as host if its lines name none
    """
    from rhubarbmount.batch.log_trace import read_logs, trace

    found = trace(read_logs(logs), subject_id)
    for line in sorted({*found.lines, *found.context}, key=lambda line: line.time_s):
        mark = " " if line in found.lines else "|"
        print(f"{mark} {line}")
    print(f"cause: {found.cause}")
    return 0 if found.lines else 1


def version() -> int:
    """Print the version."""
    print(__version__)
    return 0


def keys() -> int:
    """Generate a CURVE key pair for the peer settings and print it."""
    from rhubarbmount.zmqtrio import CurveKeys

    pair = CurveKeys.generate()
    print(f"public_key: '{pair.public}'")
    print(f"secret_key: '{pair.secret}'")
    return 0


def check(settings: str, *, seed: str | None = None) -> int:
    """Check a settings file, and optionally a seed file, and print every finding.

    :param settings: path of the YAML file
    :param seed: YAML file of hosts and entries
    """
    from rhubarbmount.settings import check_settings
    from rhubarbmount.standins.seed import check_seed
    from rhubarbmount.yaml_file import read_yaml

    _settings, findings = check_settings(read_yaml(settings))
    if seed is not None:
        _seed, more = check_seed(read_yaml(seed))
        findings.extend(more)
    for finding in findings:
        print(finding, file=sys.stderr)
    return 1 if findings else 0


def serve(settings: str) -> int:
    """Run one entry host until a signal stops it.

    The exit code is 0, or 3 if the stop interrupted requests in flight.

    :param settings: path of the YAML file
    """
    from rhubarbmount import log
    from rhubarbmount.server import EntryHost, open_platform
    from rhubarbmount.settings import load_settings
    from rhubarbmount.signals import serve_until_signalled

    loaded = load_settings(settings)
    log.configure(loaded.log.level, loaded.log.destination)
    host = EntryHost(loaded, open_platform(loaded.platform))
    cut_count = _run(serve_until_signalled, host)
    return EXIT_REQUESTS_CUT if cut_count else 0


def demo(*, keep: bool = False) -> int:
    """Run a demonstration of the whole system in one process, on loopback.

    :param keep: keep running, and print requests to try
    """
    from rhubarbmount import log
    from rhubarbmount.standins.demo import run_demo

    log.configure("error")
    return _run(run_demo, keep)


def standin_platform(
    *, address: str = "127.0.0.1", port: int = 9000, seed: str | None = None
) -> int:
    """Run the stand-in for the platform.

    :param address: IP address to listen on
    :param port: port to listen on
    :param seed: YAML file of hosts and entries to start with
    """
    from rhubarbmount import log
    from rhubarbmount.standins.platform import PlatformStandin
    from rhubarbmount.standins.seed import load_seed

    log.configure("info")
    standin = PlatformStandin()
    loaded = None if seed is None else load_seed(seed)

    async def run() -> None:
        if loaded is not None:
            await standin.load(loaded)
        await standin.run(address, port)

    _run(run)
    return 0


def standin_backend(
    *,
    address: str = "127.0.0.1",
    port: int = 9100,
    host_id: str = "host-1",
    slots: int = 8,
    service_time_ms: float = 0.0,
) -> int:
    """Run the stand-in for a backend server.

    :param address: IP address to listen on
    :param port: port to listen on
    :param host_id: the host's name in its responses
    :param slots: number of requests that run concurrently
    :param service_time_ms: duration of each request
    """
    from rhubarbmount import log
    from rhubarbmount.standins.backend import BackendStandin

    log.configure("info")
    standin = BackendStandin(host_id, slots, service_time_ms / 1000)
    _run(standin.run, address, port)
    return 0


def _run(task: Callable[..., Any], *arguments: Any) -> Any:
    """Run a trio program; unwrap a known error from its exception group."""
    import trio

    from rhubarbmount.errors import RhubarbmountError

    try:
        return trio.run(task, *arguments)
    except BaseExceptionGroup as group:
        for error in _leaves(group):
            if isinstance(error, RhubarbmountError | KeyboardInterrupt):
                raise error from None
        raise


def _leaves(group: BaseExceptionGroup) -> Any:
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _leaves(error)
        else:
            yield error
