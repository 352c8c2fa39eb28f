"""An operator who edits documents at any daemon."""

import hashlib
from collections.abc import Callable, Iterator
from urllib.parse import quote

import urllib3

EDIT_SECONDS = 5.0


class EditRefused(Exception):
    """An edit that wasn't accepted; holds the answer's status and body."""


class Operator:
    """Puts documents and remembers the version of each.

    Parameters
    ----------
    key : str
        An operator's key.
    urls : callable
        Returns base URLs of daemons to try, in order.
    """

    def __init__(self, key: str, urls: Callable[[], Iterator[str]]) -> None:
        self._key = key
        self._urls = urls
        self._pool = urllib3.PoolManager(retries=False)
        self._versions: dict[tuple[str, str], int] = {}

    def put(self, kind: str, name: str, document: dict | None) -> int:
        """Put a document and return the version that the edit made.

        Raises
        ------
        EditRefused
            When no daemon accepted it.
        """
        place = (kind, name)
        body = {"document": document, "base_version": self._versions.get(place, 0)}
        path = f"/v1/operator/documents/{kind}/{quote(name, safe='')}"
        answer = self._request("PUT", path, body)
        if answer.status not in (200, 201):
            raise EditRefused(f"{kind} {name}: {answer.status} {answer.data!r}")
        self._versions[place] = answer.json()["version"]
        return self._versions[place]

    def _request(self, method: str, path: str, body: dict) -> urllib3.BaseHTTPResponse:
        headers = {"Authorization": f"Bearer {self._key}"}
        failure = "no daemon known"
        for url in self._urls():
            try:
                return self._pool.request(
                    method, url + path, json=body, headers=headers, timeout=EDIT_SECONDS
                )
            except urllib3.exceptions.HTTPError as exc:
                failure = str(exc)
        raise EditRefused(failure)


def hash_key(key: str) -> str:
    """Return what is stored of a key."""
    return hashlib.sha256(key.encode()).hexdigest()
