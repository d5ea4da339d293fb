"""Keys issued by this entry host during a platform outage, claimed only by it."""

import hashlib
import hmac
import logging
import secrets
from collections import OrderedDict
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.claims import (
    HELD,
    UNAVAILABLE,
    Claim,
    ClaimResult,
    ClaimResultCode,
    ClaimState,
    HeldClaim,
    evaluate,
    refusal,
    row_key,
)
from rhubarbmount.request_traces import note_claim, note_claim_refused

__all__ = ["HomeClaims", "HomeKey", "parse_home_key"]

logger = logging.getLogger(__name__)

KEY_PREFIX = "home"
KEY_LIFETIME_S = 600.0
MAX_CLAIMS = 20000
EXPIRED = ClaimResult(ClaimResultCode.UNKNOWN)
FULL = ClaimResult(ClaimResultCode.UNAVAILABLE, "not-run")


@attrs.frozen
class HomeKey:
    """The parts of an issued key; ``issued_ms`` is a reading of the issuer's clock."""

    instance: str
    issued_ms: int
    nonce: str
    signature: str


def parse_home_key(key: str) -> HomeKey | None:
    """Return the parts of an issued key, or None for a key chosen by the caller.

    >>> parse_home_key("home.entry.1.1500.ab.cd").instance
    'entry.1'
    >>> parse_home_key("order-17") is None
    True
    """
    prefix, _, rest = key.partition(".")
    parts = rest.rsplit(".", 3)
    if prefix != KEY_PREFIX or len(parts) != 4 or not parts[1].isdecimal():
        return None
    instance, issued_ms, nonce, signature = parts
    return HomeKey(instance, int(issued_ms), nonce, signature)


@attrs.define(eq=False)
class HomeClaims:
    """Claims on issued keys, held in the memory of the process that issued them.

    No other process ever claims these keys, whether the platform is available or not,
    and the signing secret is lost with the process. So each request runs at most once,
    even when hosts are partitioned, paused or replaced.
    """

    instance: str
    clock: Callable[[], float] = trio.current_time
    _secret: bytes = attrs.field(factory=lambda: secrets.token_bytes(32))
    _claims: OrderedDict[str, tuple[float, Claim]] = attrs.field(factory=OrderedDict)

    def issue(self, service: str) -> str:
        """Return a new key for one request to the service."""
        issued_ms = int(self.clock() * 1000)
        nonce = secrets.token_hex(8)
        signature = self._sign(service, issued_ms, nonce)
        return f"{KEY_PREFIX}.{self.instance}.{issued_ms}.{nonce}.{signature}"

    def has_issued(self, service: str, key: HomeKey) -> bool:
        """Return whether this process issued the key for the service."""
        signature = self._sign(service, key.issued_ms, key.nonce)
        return key.instance == self.instance and hmac.compare_digest(
            signature, key.signature
        )

    @contextmanager
    def guard(
        self, service: str, idempotency_key: str, fingerprint: str
    ) -> Iterator[HeldClaim]:
        """Hold the key's claim for the duration of the block. Raises ClaimRefused."""
        claim = Claim(
            row_key=row_key(service, idempotency_key),
            claim_id=secrets.token_hex(16),
            holder=self.instance,
            fingerprint=fingerprint,
            claimed_s=0.0,
        )
        result = self._acquire(service, idempotency_key, claim)
        log.event(logger, "claim-in-memory", row=claim.row_key, ruling=result.code)
        if result is not HELD:
            note_claim_refused(claim, result)
            raise refusal(result)
        note_claim(claim)
        held = HeldClaim(claim)
        try:
            yield held
        finally:
            self._finish(held.claim)

    def _acquire(self, service: str, idempotency_key: str, claim: Claim) -> ClaimResult:
        self._evict_expired()
        key = parse_home_key(idempotency_key)
        if key is None or not self.has_issued(service, key):
            return UNAVAILABLE
        expires_s = key.issued_ms / 1000 + KEY_LIFETIME_S
        if expires_s <= self.clock():
            return EXPIRED
        if claim.row_key in self._claims:
            return evaluate(claim, self._claims[claim.row_key][1])
        if len(self._claims) >= MAX_CLAIMS:
            return FULL
        self._claims[claim.row_key] = (expires_s, claim)
        return HELD

    def _finish(self, claim: Claim) -> None:
        expires_s, _ = self._claims.pop(claim.row_key)
        if claim.state is ClaimState.RELEASED:
            note_claim(claim)
            return
        if claim.state is ClaimState.CLAIMED:
            claim = attrs.evolve(claim, state=ClaimState.UNKNOWN)
        self._claims[claim.row_key] = (expires_s, claim)
        note_claim(claim)

    def _evict_expired(self) -> None:
        """Evict expired claims, oldest first; their keys are refused by their age."""
        now_s = self.clock()
        while self._claims:
            row, (expires_s, claim) = next(iter(self._claims.items()))
            if expires_s > now_s or claim.state is ClaimState.CLAIMED:
                return
            del self._claims[row]

    def _sign(self, service: str, issued_ms: int, nonce: str) -> str:
        text = f"{service} {issued_ms} {nonce}".encode()
        return hmac.new(self._secret, text, hashlib.sha256).hexdigest()[:32]
