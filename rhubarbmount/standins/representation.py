"""Entity tags and compression for the stand-in platform's answers."""

import gzip
import hashlib

import attrs

from rhubarbmount.http import HttpRequest, HttpResponse, header_value

__all__ = ["represent"]

TAG_BYTES = 8
COMPRESSED_FROM_BYTES = 1024


def represent(request: HttpRequest, answer: HttpResponse) -> HttpResponse:
    """Return what a GET is answered: a tagged body, or 304 if the caller holds it.

    >>> answer = represent(HttpRequest("GET", "/"), HttpResponse(200, (), b"x"))
    >>> tag = answer.headers[-1][1]
    >>> again = HttpRequest("GET", "/", [(b"if-none-match", tag)])
    >>> represent(again, HttpResponse(200, (), b"x")).status
    304
    """
    if request.method != "GET" or answer.status != 200:
        return answer
    digest = hashlib.blake2b(answer.body, digest_size=TAG_BYTES).hexdigest()
    tag = f'W/"{digest}"'
    tagged = [*answer.headers, (b"etag", tag.encode("ascii"))]
    if header_value(request.headers, b"if-none-match") == tag:
        return HttpResponse(304, tagged[-1:])
    answer = attrs.evolve(answer, headers=tagged)
    coding = header_value(request.headers, b"accept-encoding") or ""
    if "gzip" not in coding or len(answer.body) < COMPRESSED_FROM_BYTES:
        return answer
    headers = [*tagged, (b"content-encoding", b"gzip")]
    return HttpResponse(200, headers, gzip.compress(answer.body, compresslevel=6))
