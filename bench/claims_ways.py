"""The ways to treat keyed requests while the platform is out, by name."""

import hashlib
from collections.abc import Awaitable, Callable

import attrs

from bench.claims_world import EntryHost, Request, World
from rhubarbmount.claims import Claim, ClaimRefused, ClaimState, HeldClaim
from rhubarbmount.home_claims import parse_home_key
from rhubarbmount.registry import Registry

__all__ = ["SERVICE", "Way", "ways"]

SERVICE = "lodgements"
FINGERPRINT = "same"


async def own_key(host: EntryHost, lodgement: str) -> str:
    """Return the key that a caller makes up for itself."""
    return lodgement


@attrs.frozen
class Way:
    """How a host handles a keyed request, and where callers get keys."""

    handle: Callable[[EntryHost, Request], Awaitable[str]]
    make_key: Callable[[EntryHost, str], Awaitable[str]] = own_key


ways: Registry[Way] = Registry("way")


async def refuse(host: EntryHost, request: Request) -> str:
    """Run under a claim, or not at all, as the product does."""
    try:
        async with host.claims.guard(SERVICE, request.key, FINGERPRINT) as held:
            return await host.run_held(held, request)
    except ClaimRefused as error:
        return error.outcome


async def issue_key(host: EntryHost, lodgement: str) -> str:
    """Return a key issued by the host when it can't reach the platform."""
    await host.pause_point()
    if host.client.is_out:
        return host.claims.home.issue(SERVICE)
    return lodgement


async def home(host: EntryHost, request: Request) -> str:
    """Pass a request with an issued key on to the key's issuer."""
    key = parse_home_key(request.key)
    if key is None or key.instance == host.instance:
        return await refuse(host, request)
    return await _forward(host, _find(host.world, key.instance), request)


async def memory_by_hash(host: EntryHost, request: Request, homed: bool) -> str:
    """Claim a caller's own key in its owner's memory while the platform is out."""
    data_centre = _home_of(host.world, request.key) if homed else host.data_centre
    owner, *others = _owners(host.world, data_centre, request.key)
    if homed and host is not owner:
        return await _forward(host, owner, request)
    try:
        async with host.claims.guard(SERVICE, request.key, FINGERPRINT) as held:
            return await host.run_held(held, request)
    except ClaimRefused as error:
        if error.code != "claims-unavailable":
            return error.outcome
    if host is not owner:
        return await _forward(host, owner, request)
    return await _run_in_memory(owner, others[:1], request)


async def unprotected(host: EntryHost, request: Request) -> str:
    """Dispatch without a claim while the platform is out."""
    try:
        async with host.claims.guard(SERVICE, request.key, FINGERPRINT) as held:
            return await host.run_held(held, request)
    except ClaimRefused as error:
        if error.code != "claims-unavailable":
            return error.outcome
    return await host.run_held(_unwritten(host, request), request)


async def no_claims(host: EntryHost, request: Request) -> str:
    """Dispatch every attempt."""
    return await host.run_held(_unwritten(host, request), request)


async def _run_in_memory(
    owner: EntryHost, copies: list[EntryHost], request: Request
) -> str:
    for holder in (owner, *copies):
        held = holder.memory.get(request.key)
        if held is not None and held.claim.state is not ClaimState.RELEASED:
            return "ran" if held.claim.state is ClaimState.FINISHED else "unknown"
    held = _unwritten(owner, request)
    for holder in (owner, *copies):
        holder.memory[request.key] = held
    return await owner.run_held(held, request)


async def _forward(host: EntryHost, other: EntryHost | None, request: Request) -> str:
    if other is None or not host.world.can_reach(host, other):
        return "unknown"
    onward = attrs.evolve(request, outcome=None)
    return await other.ask(onward)


def _find(world: World, instance: str) -> EntryHost | None:
    return next((h for h in world.hosts if h.instance == instance), None)


def _home_of(world: World, key: str) -> str:
    return max(world.data_centres, key=lambda name: _weight(key, name))


def _owners(world: World, data_centre: str, key: str) -> list[EntryHost]:
    """Return the hosts that look alive, the key's owner first."""
    near = [h for h in world.hosts if h.data_centre == data_centre]
    alive = [h for h in near if not h.is_paused] or near
    return sorted(alive, key=lambda h: _weight(key, h.instance), reverse=True)


def _weight(key: str, name: str) -> bytes:
    return hashlib.sha256(f"{key} {name}".encode()).digest()


def _unwritten(host: EntryHost, request: Request) -> HeldClaim:
    return HeldClaim(
        Claim(
            row_key=request.key,
            claim_id=request.key,
            holder=host.instance,
            fingerprint=FINGERPRINT,
            claimed_s=0.0,
        )
    )


async def _memory_anywhere(host: EntryHost, request: Request) -> str:
    return await memory_by_hash(host, request, homed=False)


async def _memory_at_home(host: EntryHost, request: Request) -> str:
    return await memory_by_hash(host, request, homed=True)


ways.register("no-claims")(Way(no_claims))
ways.register("unprotected")(Way(unprotected))
ways.register("memory-anywhere")(Way(_memory_anywhere))
ways.register("memory-at-home")(Way(_memory_at_home))
ways.register("refuse")(Way(refuse))
ways.register("home")(Way(home, issue_key))
ways.register("home-alone")(Way(refuse, issue_key))
